import type { MemberTombstone } from "../../schema/peer/MemberTombstone.js";
import type { PeerMessage } from "../../schema/peer/PeerMessage.js";
import { createTombstone } from "./createTombstone.js";
import type { MemberEntry } from "./MemberEntry.js";
import type { MembershipSettings } from "./MembershipSettings.js";
import type { MemberStore } from "./MemberStore.js";
import { selectRingNeighbours } from "./selectRingNeighbours.js";

type MemberProbe = Extract<PeerMessage, { type: "memberProbe"; }>;
type MemberVouch = Extract<PeerMessage, { type: "memberVouch"; }>;

/** Visible VMs probed in addition to the ring neighbours of a suspect. */
const maxAdditionalProbeTargets = 2;

interface FailureDetectorActions {
    readonly send: (vm: string, message: PeerMessage) => void;
    /** Sends a heartbeat that requests one in return. */
    readonly requestHeartbeat: (vm: string) => void;
    /** Sends a VM the tombstone about itself, so that it can refute it. */
    readonly sendTombstone: (tombstone: MemberTombstone) => void;
    /** Marks the VM of the tombstone as gone, as no VM has had contact with it. */
    readonly declareGone: (tombstone: MemberTombstone) => void;
    readonly listVisibleVms: () => readonly string[];
}

/**
 * Decides when a VM is gone. A watched VM without recent contact is first probed through other VMs, and is declared gone only if none of
 * them vouches for it. Also answers the probes of other VMs.
 */
export class FailureDetector {
    /** VMs waiting for a vouch, by the VM that they probe. The vouch is sent on the next contact with the probed VM. */
    private readonly probersByVm = new Map<string, Set<string>>();
    /** Start times of pending tombstone verifications by VM. A tombstone is accepted unless there is contact with the VM after that. */
    private readonly verificationStartMs = new Map<string, number>();
    private roundRobinIndex = 0;
    private nowMs = 0;

    constructor(
        private readonly selfVm: string,
        private readonly store: MemberStore,
        private readonly settings: MembershipSettings,
        private readonly actions: FailureDetectorActions,
    ) {}

    /** Probes suspects, and declares watched VMs and VMs under verification gone when no VM has had contact within `goneAfterMs`. */
    update(nowMs: number): void {
        this.nowMs = nowMs;
        this.checkWatchedVms();
        this.resolveVerifications();
    }

    /**
     * Records a heartbeat from a peer that received the last heartbeat of this VM `heardByPeerMs` ago. If that is longer than one heartbeat
     * interval, the contact is backdated by the excess, as the peer has missed heartbeats of this VM since then.
     */
    recordBidirectionalContact(entry: MemberEntry, heardByPeerMs: number, nowMs: number): void {
        this.nowMs = nowMs;
        const overdueMs = Math.max(0, heardByPeerMs - this.settings.heartbeatIntervalMs);
        entry.bidirectionalContactAtMs = Math.max(entry.bidirectionalContactAtMs, this.nowMs - overdueMs);
        if (this.hasRecentContact(entry)) {
            this.answerPendingProbes(entry);
        }
    }

    /**
     * Starts the verification of a tombstone that is old or contradicts recent contact: sends it to the VM itself and probes the VM through
     * others. It is accepted only if there is no contact from now on.
     */
    verifyTombstone(tombstone: MemberTombstone, entry: MemberEntry, nowMs: number): void {
        this.nowMs = nowMs;
        if (!this.verificationStartMs.has(tombstone.vm)) {
            this.verificationStartMs.set(tombstone.vm, this.nowMs);
            this.actions.sendTombstone(tombstone);
            this.sendProbes(entry);
        }
    }

    /** Vouches for a VM with contact within the last heartbeat interval; otherwise requests a heartbeat from it and vouches on contact. */
    receiveProbe(from: string, probe: MemberProbe, nowMs: number): void {
        this.nowMs = nowMs;
        const entry = this.store.get(probe.vm);
        if (probe.vm === this.selfVm || entry?.record.incarnation !== probe.incarnation) {
            return;
        }
        if (this.nowMs - entry.bidirectionalContactAtMs < this.settings.heartbeatIntervalMs) {
            this.sendVouch(from, entry);
            return;
        }
        const probers = this.probersByVm.get(probe.vm) ?? new Set();
        probers.add(from);
        this.probersByVm.set(probe.vm, probers);
        this.actions.requestHeartbeat(probe.vm);
    }

    private answerPendingProbes(entry: MemberEntry): void {
        const probers = this.probersByVm.get(entry.record.vm);
        if (probers !== undefined) {
            this.probersByVm.delete(entry.record.vm);
            for (const prober of probers) {
                this.sendVouch(prober, entry);
            }
        }
    }

    private sendVouch(prober: string, entry: MemberEntry): void {
        const { vm, incarnation } = entry.record;
        this.actions.send(prober, { type: "memberVouch", vm, incarnation, heardMs: this.nowMs - entry.bidirectionalContactAtMs });
    }

    /** Records indirect contact with a VM, unless the contact is older than `goneAfterMs` or with another incarnation. */
    receiveVouch(vouch: MemberVouch, nowMs: number): void {
        this.nowMs = nowMs;
        const entry = this.store.get(vouch.vm);
        if (entry?.record.incarnation === vouch.incarnation && vouch.heardMs < this.settings.goneAfterMs) {
            entry.indirectContactAtMs = Math.max(entry.indirectContactAtMs, this.nowMs - vouch.heardMs);
        }
    }

    /** Whether this VM or another one has had contact with the VM within `suspectAfterMs`. */
    hasRecentContact(entry: MemberEntry): boolean {
        return this.nowMs - Math.max(entry.bidirectionalContactAtMs, entry.indirectContactAtMs) < this.settings.suspectAfterMs;
    }

    private checkWatchedVms(): void {
        for (const entry of this.store.listEntries()) {
            if (entry.isGone || entry.watchedSinceMs < 0) {
                continue;
            }
            const silentMs = this.nowMs - Math.max(entry.bidirectionalContactAtMs, entry.indirectContactAtMs, entry.watchedSinceMs);
            if (silentMs > this.settings.goneAfterMs) {
                this.actions.declareGone({ ...createTombstone(entry, this.nowMs), ageMs: 0 });
            }
            else if (silentMs > this.settings.suspectAfterMs) {
                this.sendProbes(entry);
            }
        }
    }

    private resolveVerifications(): void {
        for (const [vm, sinceMs] of this.verificationStartMs) {
            const entry = this.store.get(vm);
            if (entry === undefined || entry.isGone || Math.max(entry.bidirectionalContactAtMs, entry.indirectContactAtMs) > sinceMs) {
                this.verificationStartMs.delete(vm);
            }
            else if (this.nowMs - sinceMs >= this.settings.goneAfterMs) {
                this.actions.declareGone({ ...createTombstone(entry, this.nowMs), ageMs: 0 });
            }
            else {
                this.sendProbes(entry);
            }
        }
    }

    /** Asks other VMs whether they have contact with a VM, at most once per `probeIntervalMs`. */
    private sendProbes(entry: MemberEntry): void {
        if (this.nowMs - entry.lastProbeAtMs < this.settings.probeIntervalMs) {
            return;
        }
        entry.lastProbeAtMs = this.nowMs;
        const { vm, incarnation, availabilityZone } = entry.record;
        const zones = this.store.groupVmsByZone();
        const probeTargets = new Set(selectRingNeighbours(vm, zones.get(availabilityZone) ?? []));
        const candidates = this.actions.listVisibleVms().filter(other => !probeTargets.has(other) && other !== vm);
        for (let index = 0; index < Math.min(maxAdditionalProbeTargets, candidates.length); index++) {
            probeTargets.add(candidates[this.roundRobinIndex++ % candidates.length] as string);
        }
        probeTargets.delete(this.selfVm);
        for (const target of probeTargets) {
            this.actions.send(target, { type: "memberProbe", vm, incarnation });
        }
    }

    /**
     * Shifts all contact times by a pause of this process, as silence during the pause says nothing about other VMs. None is shifted beyond
     * `nowMs`: a contact may have been recorded since the last tick.
     */
    compensateForPause(pausedMs: number, nowMs: number): void {
        const shift = (timeMs: number) => Math.min(nowMs, timeMs + pausedMs);
        for (const entry of this.store.listEntries()) {
            entry.bidirectionalContactAtMs = shift(entry.bidirectionalContactAtMs);
            entry.heardAtMs = shift(entry.heardAtMs);
            entry.indirectContactAtMs = shift(entry.indirectContactAtMs);
            entry.watchedSinceMs = shift(entry.watchedSinceMs);
        }
        for (const [vm, sinceMs] of this.verificationStartMs) {
            this.verificationStartMs.set(vm, shift(sinceMs));
        }
    }
}
