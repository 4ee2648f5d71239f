import type { MemberTombstone } from "../../schema/peer/MemberTombstone.js";
import type { PeerMessage } from "../../schema/peer/PeerMessage.js";
import { createTombstone } from "./createTombstone.js";
import type { MemberEntry } from "./MemberEntry.js";
import type { MembershipSettings } from "./MembershipSettings.js";
import type { MemberStore } from "./MemberStore.js";
import { selectRingNeighbours } from "./selectRingNeighbours.js";

type MemberProbe = Extract<PeerMessage, { type: "memberProbe"; }>;
type MemberVouch = Extract<PeerMessage, { type: "memberVouch"; }>;

/** VMs outside the zone of a suspect that are asked after it. */
const outsideHelpers = 2;

interface FailureDetectorActions {
    readonly send: (vm: string, message: PeerMessage) => void;
    /** Sends a heartbeat that asks for one in turn. */
    readonly requestHeartbeat: (vm: string) => void;
    /** Tells a VM that others say it is gone. */
    readonly sendTombstone: (statement: MemberTombstone) => void;
    /** Nobody hears the VM. */
    readonly declareGone: (statement: MemberTombstone) => void;
    readonly listVisibleVms: () => readonly string[];
}

/**
 * Decides when a VM is gone: one that this VM watches and no longer hears both ways is asked after at other VMs first. Answers the same
 * questions of others.
 */
export class FailureDetector {
    private readonly askers = new Map<string, Set<string>>();
    /** Statements under check: since when. They are believed unless the VM is heard afterwards. */
    private readonly checks = new Map<string, number>();
    private rotation = 0;
    private nowMs = 0;

    constructor(
        private readonly selfVm: string,
        private readonly store: MemberStore,
        private readonly settings: MembershipSettings,
        private readonly actions: FailureDetectorActions,
    ) {}

    /** Gives up VMs that this one watches, and those under check, when nobody hears them. */
    update(nowMs: number): void {
        this.nowMs = nowMs;
        this.watchNeighbours();
        this.endChecks();
    }

    /** Beyond one period without a heartbeat from here, the peer did not hear this VM; that time does not count as heard. */
    recordBidirectionalContact(entry: MemberEntry, heardByPeerMs: number, nowMs: number): void {
        this.nowMs = nowMs;
        const unheardMs = Math.max(0, heardByPeerMs - this.settings.heartbeatIntervalMs);
        entry.bidirectionalContactAtMs = Math.max(entry.bidirectionalContactAtMs, this.nowMs - unheardMs);
        if (this.hasRecentContact(entry)) {
            this.answerAskers(entry);
        }
    }

    /** A statement that is old, or about a VM that was heard lately, is believed only if the VM is not heard from now on. */
    verifyTombstone(statement: MemberTombstone, entry: MemberEntry, nowMs: number): void {
        this.nowMs = nowMs;
        if (!this.checks.has(statement.vm)) {
            this.checks.set(statement.vm, this.nowMs);
            this.actions.sendTombstone(statement);
            this.probe(entry);
        }
    }

    /** Vouches for a VM that is heard, or tries to reach it and vouches later. */
    receiveProbe(from: string, probe: MemberProbe, nowMs: number): void {
        this.nowMs = nowMs;
        const entry = this.store.get(probe.vm);
        if (probe.vm === this.selfVm || entry?.record.incarnation !== probe.incarnation) {
            return;
        }
        if (this.nowMs - entry.bidirectionalContactAtMs < this.settings.heartbeatIntervalMs) {
            this.vouch(from, entry);
            return;
        }
        const askers = this.askers.get(probe.vm) ?? new Set();
        askers.add(from);
        this.askers.set(probe.vm, askers);
        this.actions.requestHeartbeat(probe.vm);
    }

    private answerAskers(entry: MemberEntry): void {
        const askers = this.askers.get(entry.record.vm);
        if (askers !== undefined) {
            this.askers.delete(entry.record.vm);
            for (const asker of askers) {
                this.vouch(asker, entry);
            }
        }
    }

    private vouch(asker: string, entry: MemberEntry): void {
        const { vm, incarnation } = entry.record;
        this.actions.send(asker, { type: "memberVouch", vm, incarnation, heardMs: this.nowMs - entry.bidirectionalContactAtMs });
    }

    receiveVouch(vouch: MemberVouch, nowMs: number): void {
        this.nowMs = nowMs;
        const entry = this.store.get(vouch.vm);
        if (entry?.record.incarnation === vouch.incarnation && vouch.heardMs < this.settings.goneAfterMs) {
            entry.indirectContactAtMs = Math.max(entry.indirectContactAtMs, this.nowMs - vouch.heardMs);
        }
    }

    /** Whether a VM was heard lately, here or by another VM. */
    hasRecentContact(entry: MemberEntry): boolean {
        return this.nowMs - Math.max(entry.bidirectionalContactAtMs, entry.indirectContactAtMs) < this.settings.suspectAfterMs;
    }

    private watchNeighbours(): void {
        for (const entry of this.store.all()) {
            if (entry.isGone || entry.watchedSinceMs < 0) {
                continue;
            }
            const silentMs = this.nowMs - Math.max(entry.bidirectionalContactAtMs, entry.indirectContactAtMs, entry.watchedSinceMs);
            if (silentMs > this.settings.goneAfterMs) {
                this.actions.declareGone({ ...createTombstone(entry, this.nowMs), ageMs: 0 });
            }
            else if (silentMs > this.settings.suspectAfterMs) {
                this.probe(entry);
            }
        }
    }

    private endChecks(): void {
        for (const [vm, sinceMs] of this.checks) {
            const entry = this.store.get(vm);
            if (entry === undefined || entry.isGone || Math.max(entry.bidirectionalContactAtMs, entry.indirectContactAtMs) > sinceMs) {
                this.checks.delete(vm);
            }
            else if (this.nowMs - sinceMs >= this.settings.goneAfterMs) {
                this.actions.declareGone({ ...createTombstone(entry, this.nowMs), ageMs: 0 });
            }
            else {
                this.probe(entry);
            }
        }
    }

    /** Asks other VMs whether they hear a VM. */
    private probe(entry: MemberEntry): void {
        if (this.nowMs - entry.lastProbeAtMs < this.settings.probeIntervalMs) {
            return;
        }
        entry.lastProbeAtMs = this.nowMs;
        const { vm, incarnation, availabilityZone } = entry.record;
        const zones = this.store.groupVmsByZone();
        const helpers = new Set(selectRingNeighbours(vm, zones.get(availabilityZone) ?? []));
        const outside = this.actions.listVisibleVms().filter(other => !helpers.has(other) && other !== vm);
        for (let index = 0; index < Math.min(outsideHelpers, outside.length); index++) {
            helpers.add(outside[this.rotation++ % outside.length] as string);
        }
        helpers.delete(this.selfVm);
        for (const helper of helpers) {
            this.actions.send(helper, { type: "memberProbe", vm, incarnation });
        }
    }

    /** What was not heard while this process stood still is no sign of anything. */
    compensateForPause(pausedMs: number): void {
        for (const entry of this.store.all()) {
            entry.bidirectionalContactAtMs += pausedMs;
            entry.heardAtMs += pausedMs;
            entry.indirectContactAtMs += pausedMs;
            entry.watchedSinceMs += pausedMs;
        }
        for (const [vm, sinceMs] of this.checks) {
            this.checks.set(vm, sinceMs + pausedMs);
        }
    }
}
