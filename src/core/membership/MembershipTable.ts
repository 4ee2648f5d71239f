import type { MemberRecord } from "../../schema/peer/MemberRecord.js";
import type { MemberTombstone } from "../../schema/peer/MemberTombstone.js";
import type { PeerMessage } from "../../schema/peer/PeerMessage.js";
import { collectMemberUpdates } from "./collectMemberUpdates.js";
import { createTombstone } from "./createTombstone.js";
import { defaultMembershipSettings } from "./defaultMembershipSettings.js";
import { FailureDetector } from "./FailureDetector.js";
import { findUnreachableZones } from "./findUnreachableZones.js";
import { listVisibleMembers } from "./listVisibleMembers.js";
import type { Member } from "./Member.js";
import type { MemberEntry } from "./MemberEntry.js";
import type { MembershipSettings } from "./MembershipSettings.js";
import { MemberStore } from "./MemberStore.js";
import { selectRingNeighbours } from "./selectRingNeighbours.js";
import { selectZoneRepresentatives } from "./selectZoneRepresentatives.js";
import { ZoneConfigOffsets } from "./ZoneConfigOffsets.js";
import { ZoneMonitor } from "./ZoneMonitor.js";

type Heartbeat = Extract<PeerMessage, { type: "heartbeat"; }>;
type MemberSync = Extract<PeerMessage, { type: "memberSync"; }>;

/** More than this many tick intervals without a tick mean that this process was paused. */
const pauseThresholdTicks = 4;
/** Heartbeat intervals for which a temporary target is sent heartbeats. */
const temporaryTargetHeartbeats = 3;

/** State of the protocol with one VM. */
interface PeerState {
    /** Change number up to which the VM has been sent all records and tombstones. */
    sentRecordChangeNumber: number;
    /** Change number up to which the VM has been sent all configuration offsets. */
    sentOffsetChangeNumber: number;
    /** Consecutive heartbeats with a digest other than the local one. */
    digestMismatches: number;
    lastSyncAtMs: number;
    /** When the VM ceases to be a temporary heartbeat target, which need not be a selected neighbour. */
    temporaryTargetUntilMs: number;
}

interface MembershipTableOptions {
    readonly self: Omit<MemberRecord, "version" | "state" | "unreachableZones">;
    /** Sends without waiting; returns false if the VM is not reachable now. */
    readonly send: (vm: string, message: PeerMessage) => boolean;
    /** Called on each membership event, for logging. The subject is a VM, a zone or, for `superseded`, the newer incarnation. */
    readonly onEvent?: (
        event: { readonly kind: "joined" | "gone" | "zone-lost" | "zone-back" | "superseded"; readonly subject: string; },
    ) => void;
    readonly settings?: MembershipSettings;
}

/**
 * Membership and failure detection of the fleet, without I/O. Each VM exchanges heartbeats with a few neighbours in its zone and, if it
 * represents its zone, with representatives of other zones; changes are gossiped over the same links. A neighbour without recent
 * bidirectional contact is probed through other VMs before it is declared gone. The members of a zone that no representative can reach are
 * hidden until there is contact again.
 */
export class MembershipTable {
    private readonly settings: MembershipSettings;
    private readonly store = new MemberStore();
    private readonly peerStates = new Map<string, PeerState>();
    private readonly zoneOffsets = new ZoneConfigOffsets(this.store);
    private readonly zoneMonitor: ZoneMonitor;
    private readonly failureDetector: FailureDetector;
    /** VMs that the platform lists as alive. */
    private listedVms: ReadonlySet<string> = new Set();
    private selectedNeighbours: ReadonlySet<string> = new Set();
    /** Change number at the last selection of neighbours. */
    private neighboursSelectedAtChange = -1;
    private neighboursSelectedAtMs: number;
    private version = 0;
    private state: MemberRecord["state"] = "starting";
    private nowMs: number;
    /** Time of the last tick, or of a later message or link that ended a pause. */
    private lastTickMs: number;
    private nextHeartbeatMs: number;
    private hasLeft = false;
    private isSuperseded = false;
    private cachedMembers: { readonly changes: number; readonly members: readonly Member[]; } | undefined;

    constructor(private readonly options: MembershipTableOptions, nowMs: number) {
        this.settings = options.settings ?? defaultMembershipSettings;
        this.nowMs = nowMs;
        this.lastTickMs = nowMs;
        this.nextHeartbeatMs = nowMs;
        this.neighboursSelectedAtMs = nowMs;
        const sendHeartbeatRequest = (vm: string) => {
            options.send(vm, this.createHeartbeat(vm));
        };
        this.zoneMonitor = new ZoneMonitor(this.store, this.settings, sendHeartbeatRequest);
        this.failureDetector = new FailureDetector(options.self.vm, this.store, this.settings, {
            send: options.send,
            requestHeartbeat: sendHeartbeatRequest,
            sendTombstone: tombstone => {
                options.send(tombstone.vm, { ...this.createHeartbeat(tombstone.vm), gone: [tombstone] });
            },
            declareGone: tombstone => {
                this.markGone(tombstone, "");
            },
            listVisibleVms: () => this.members.map(member => member.vm),
        });
        this.publishLocalRecord();
    }

    /** Number of changes so far; compare it to detect a change. */
    get changeCount(): number {
        return this.store.changes;
    }

    /** Visible members including the local VM, ordered by id. Returns the same array until something changes. */
    get members(): readonly Member[] {
        if (this.cachedMembers?.changes !== this.store.changes) {
            this.cachedMembers = { changes: this.store.changes, members: listVisibleMembers(this.store, this.zoneOffsets, this.ownZone) };
        }
        return this.cachedMembers.members;
    }

    /**
     * Number of VMs that may be alive: those that are not gone, and those that were declared gone without having announced a shutdown and
     * that the platform lists or that have been gone for less than `possiblyAliveMs`.
     */
    get possiblyAliveCount(): number {
        let count = 0;
        for (const entry of this.store.listEntries()) {
            const isPossiblyAlive = !entry.hasLeft
                && (this.listedVms.has(entry.record.vm) || this.nowMs - entry.goneAtMs < this.settings.possiblyAliveMs);
            if (!entry.isGone || isPossiblyAlive) {
                count++;
            }
        }
        return count;
    }

    /** Peer URL of each known VM except the local one, by VM. */
    get peerUrls(): ReadonlyMap<string, string> {
        const peerUrls = new Map<string, string>();
        for (const { record } of this.store.listEntries()) {
            if (record.vm !== this.options.self.vm) {
                peerUrls.set(record.vm, record.peerUrl);
            }
        }
        return peerUrls;
    }

    /** VMs that are known but not visible. They are dialled from time to time, in case they are reachable again. */
    get unreachableVms(): readonly string[] {
        const visible = new Set(this.members.map(member => member.vm));
        return [...this.store.listEntries()].map(entry => entry.record.vm).filter(vm => !visible.has(vm));
    }

    /** Updates the record of the local VM. A new state is sent to the neighbours at once. */
    updateLocalMember(local: { readonly state?: MemberRecord["state"]; readonly configOffset?: number; }): void {
        if (local.configOffset !== undefined) {
            this.store.setConfigOffset(this.options.self.vm, local.configOffset, "");
        }
        if (local.state !== undefined && local.state !== this.state) {
            this.state = local.state;
            this.publishLocalRecord();
            this.sendHeartbeats();
        }
    }

    /** Announces the shutdown of this VM to its neighbours; the table ignores all later ticks and messages. */
    leave(): void {
        this.hasLeft = true;
        const { vm, incarnation } = this.options.self;
        const tombstone: MemberTombstone = { vm, incarnation, version: this.version, ageMs: 0, hasLeft: true };
        for (const target of this.listHeartbeatTargets()) {
            this.options.send(target, { ...this.createHeartbeat(target, false), gone: [tombstone] });
        }
    }

    /** Sets the VMs that the platform lists as alive. */
    setListedVms(vms: Iterable<string>): void {
        this.listedVms = new Set(vms);
    }

    /**
     * Handles a newly opened link to `vm`. All configuration offsets are sent to `vm` again, and a member sync is started if `vm` is
     * unknown or not visible.
     */
    handleLinkOpened(vm: string, nowMs: number): void {
        this.advanceTo(nowMs);
        const entry = this.store.get(vm);
        const peerState = this.getOrCreatePeerState(vm);
        peerState.sentOffsetChangeNumber = 0;
        if (entry === undefined || !this.isVisible(entry)) {
            peerState.temporaryTargetUntilMs = this.nowMs + temporaryTargetHeartbeats * this.settings.heartbeatIntervalMs;
            this.sendSync(vm, true);
        }
        if (this.listHeartbeatTargets().has(vm)) {
            this.sendHeartbeat(vm);
        }
    }

    /** Runs all work that is due by `nowMs`; to be called every `tickMs`. */
    tick(nowMs: number): void {
        this.advanceTo(nowMs);
        this.lastTickMs = nowMs;
        if (this.hasLeft) {
            return;
        }
        this.selectNeighbours();
        this.failureDetector.update(nowMs);
        this.updateUnreachableZones();
        this.removeExpiredTombstones();
        this.zoneOffsets.updateOwnZone(this.ownZone);
        if (nowMs >= this.nextHeartbeatMs) {
            this.nextHeartbeatMs = nowMs + this.settings.heartbeatIntervalMs;
            this.sendHeartbeats();
        }
        else {
            this.sendUpdates();
        }
    }

    /** Handles a membership message; other messages are ignored. */
    receive(from: string, message: PeerMessage, nowMs: number): void {
        if (this.hasLeft) {
            return;
        }
        this.advanceTo(nowMs);
        switch (message.type) {
            case "heartbeat":
                this.receiveHeartbeat(from, message);
                return;
            case "memberSync":
                this.receiveSync(from, message);
                return;
            case "memberProbe":
                this.failureDetector.receiveProbe(from, message, this.nowMs);
                return;
            case "memberVouch":
                this.failureDetector.receiveVouch(message, this.nowMs);
                return;
        }
    }

    /** Advances the time. After a pause, compensates for it before anything else is recorded, as messages may be handled before a tick. */
    private advanceTo(nowMs: number): void {
        this.nowMs = Math.max(this.nowMs, nowMs);
        const pausedMs = this.nowMs - this.lastTickMs;
        if (pausedMs > pauseThresholdTicks * this.settings.tickMs) {
            this.lastTickMs = this.nowMs;
            this.failureDetector.compensateForPause(pausedMs, this.nowMs);
            this.zoneMonitor.compensateForPause(pausedMs);
        }
    }

    private receiveHeartbeat(from: string, heartbeat: Heartbeat): void {
        for (const record of heartbeat.records ?? []) {
            this.receiveRecord(from, record);
        }
        for (const tombstone of heartbeat.gone ?? []) {
            this.receiveTombstone(from, tombstone);
        }
        for (const [vm, offset] of heartbeat.offsets ?? []) {
            this.store.setConfigOffset(vm, offset, from);
        }
        for (const [zone, offset] of heartbeat.zoneOffsets ?? []) {
            this.zoneOffsets.advance(zone, offset);
        }
        this.recordHeartbeat(from, heartbeat);
        this.compareDigest(from, heartbeat.digest);
    }

    private recordHeartbeat(from: string, heartbeat: Heartbeat): void {
        const entry = this.store.get(from);
        if (entry === undefined) {
            this.sendSync(from, true);
            return;
        }
        if (entry.record.incarnation !== heartbeat.incarnation) {
            if (heartbeat.incarnation > entry.record.incarnation) {
                this.sendSync(from, true);
            }
            return;
        }
        entry.heardAtMs = this.nowMs;
        if (heartbeat.heardMs >= 0) {
            this.failureDetector.recordBidirectionalContact(entry, heartbeat.heardMs, this.nowMs);
        }
        if (entry.isGone) {
            this.sendTombstone(from, entry);
        }
        if (heartbeat.wantsHeartbeats) {
            this.addTemporaryTarget(from);
        }
    }

    /** Sends heartbeats to a VM that watches this one; the first is sent at once unless the VM is a target already. */
    private addTemporaryTarget(vm: string): void {
        const peerState = this.getOrCreatePeerState(vm);
        const isNewTarget = peerState.temporaryTargetUntilMs < this.nowMs && !this.selectedNeighbours.has(vm);
        peerState.temporaryTargetUntilMs = this.nowMs + temporaryTargetHeartbeats * this.settings.heartbeatIntervalMs;
        if (isNewTarget) {
            this.options.send(vm, this.createHeartbeat(vm, false));
        }
    }

    private receiveRecord(from: string, record: MemberRecord): void {
        if (record.vm === this.options.self.vm) {
            if (record.incarnation > this.options.self.incarnation && !this.isSuperseded) {
                this.isSuperseded = true;
                this.options.onEvent?.({ kind: "superseded", subject: record.incarnation });
            }
            return;
        }
        const previousEntry = this.store.get(record.vm);
        const wasAlive = previousEntry !== undefined && !previousEntry.isGone;
        if (this.store.put(record, from) && !wasAlive) {
            this.options.onEvent?.({ kind: "joined", subject: record.vm });
        }
    }

    private receiveTombstone(from: string, tombstone: MemberTombstone): void {
        if (tombstone.vm === this.options.self.vm) {
            this.refute(tombstone);
            return;
        }
        const entry = this.store.get(tombstone.vm);
        if (entry === undefined || entry.isGone || entry.record.incarnation > tombstone.incarnation) {
            return;
        }
        const isTrusted = tombstone.ageMs < this.settings.maxTrustedTombstoneAgeMs && !this.failureDetector.hasRecentContact(entry);
        if (tombstone.vm === from || isTrusted) {
            this.markGone(tombstone, from);
        }
        else {
            this.failureDetector.verifyTombstone(tombstone, entry, this.nowMs);
        }
    }

    /** Refutes a tombstone about this VM: a record with a higher version overrides it everywhere. */
    private refute(tombstone: MemberTombstone): void {
        if (tombstone.incarnation === this.options.self.incarnation && tombstone.version >= this.version) {
            this.version = tombstone.version;
            this.publishLocalRecord();
            this.sendUpdates();
        }
    }

    private markGone(tombstone: MemberTombstone, learnedFrom: string): void {
        if (this.store.markGone(tombstone, this.nowMs, learnedFrom)) {
            this.options.onEvent?.({ kind: "gone", subject: tombstone.vm });
            this.sendUpdates();
        }
    }

    private receiveSync(from: string, sync: MemberSync): void {
        const known = new Map(sync.known.map(([vm, incarnation, version]) => [vm, { incarnation, version }]));
        const records: MemberRecord[] = [];
        const tombstones: MemberTombstone[] = [];
        const offsets: [string, number][] = [];
        for (const entry of this.store.listEntries()) {
            const knownVersion = known.get(entry.record.vm);
            const isUpToDate = knownVersion?.incarnation === entry.record.incarnation && knownVersion.version === entry.record.version;
            if (entry.isGone && knownVersion !== undefined) {
                tombstones.push(createTombstone(entry, this.nowMs));
            }
            else if (!entry.isGone && !isUpToDate) {
                records.push(entry.record);
                offsets.push([entry.record.vm, entry.configOffset]);
            }
        }
        const zoneOffsets = this.zoneOffsets.listChangedSince(0);
        this.options.send(from, { ...this.createHeartbeat(from, false), records, gone: tombstones, offsets, zoneOffsets });
        if (sync.wantsList) {
            this.sendSync(from, false);
        }
    }

    /** Starts a member sync after several consecutive heartbeats with a different digest. */
    private compareDigest(from: string, digest: number): void {
        const peerState = this.getOrCreatePeerState(from);
        peerState.digestMismatches = digest === this.store.digest ? 0 : peerState.digestMismatches + 1;
        if (peerState.digestMismatches >= this.settings.digestMismatchesBeforeSync) {
            this.sendSync(from, true);
        }
    }

    /**
     * Sends the versions of the members that are not gone to a VM, which responds with what differs. `wantsList` starts a sync in both
     * directions, at most once per `minSyncIntervalMs`.
     */
    private sendSync(vm: string, wantsList: boolean): void {
        const peerState = this.getOrCreatePeerState(vm);
        if (wantsList && this.nowMs - peerState.lastSyncAtMs < this.settings.minSyncIntervalMs) {
            return;
        }
        const known = [...this.store.listEntries()]
            .filter(entry => !entry.isGone)
            .map(({ record }): [string, string, number] => [record.vm, record.incarnation, record.version]);
        if (this.options.send(vm, { type: "memberSync", known, wantsList })) {
            peerState.lastSyncAtMs = this.nowMs;
            peerState.digestMismatches = 0;
        }
    }

    /** Selects the neighbours again after a change, at most once per `minNeighbourSelectionIntervalMs` unless a neighbour is gone. */
    private selectNeighbours(): void {
        if (this.neighboursSelectedAtChange === this.store.changes) {
            return;
        }
        if (
            this.nowMs - this.neighboursSelectedAtMs < this.settings.minNeighbourSelectionIntervalMs &&
            ![...this.selectedNeighbours].some(vm => this.store.get(vm)?.isGone)
        ) {
            return;
        }
        this.neighboursSelectedAtMs = this.nowMs;
        this.neighboursSelectedAtChange = this.store.changes;
        const zones = this.store.groupVmsByZone();
        const { vm, availabilityZone } = this.options.self;
        const ownZone = zones.get(availabilityZone) ?? [];
        const neighbours = new Set(selectRingNeighbours(vm, ownZone));
        for (const entry of this.store.listEntries()) {
            if (entry.record.vm !== vm && entry.record.availabilityZone === availabilityZone) {
                const isNeighbour = neighbours.has(entry.record.vm);
                entry.watchedSinceMs = !isNeighbour
                    ? -Infinity
                    : Math.max(entry.watchedSinceMs, -1) < 0
                    ? this.nowMs
                    : entry.watchedSinceMs;
            }
        }
        for (const [zone, vms] of zones) {
            if (zone !== availabilityZone) {
                this.addLinkedRepresentatives(neighbours, zone, vms, ownZone);
            }
        }
        this.selectedNeighbours = neighbours;
    }

    /** Adds the representatives of another zone that this VM is linked to as a representative of its own zone. */
    private addLinkedRepresentatives(neighbours: Set<string>, zone: string, vms: readonly string[], ownZone: readonly string[]): void {
        const { vm, availabilityZone } = this.options.self;
        const ownRepresentatives = selectZoneRepresentatives(availabilityZone, zone, ownZone);
        const remoteRepresentatives = selectZoneRepresentatives(zone, availabilityZone, vms);
        for (let index = 0; index < Math.max(ownRepresentatives.length, remoteRepresentatives.length); index++) {
            const linkedVm = remoteRepresentatives[index % remoteRepresentatives.length];
            if (ownRepresentatives[index % ownRepresentatives.length] === vm && linkedVm !== undefined) {
                neighbours.add(linkedVm);
            }
        }
        this.zoneMonitor.setRepresentative(zone, ownRepresentatives.includes(vm), this.nowMs);
    }

    /** On a representative: publishes which linked zones are unreachable, and emits an event for each change. */
    private updateUnreachableZones(): void {
        const previouslyUnreachable = this.zoneMonitor.unreachable;
        if (!this.zoneMonitor.update(this.nowMs)) {
            return;
        }
        const { unreachable } = this.zoneMonitor;
        for (const zone of unreachable.filter(name => !previouslyUnreachable.includes(name))) {
            this.options.onEvent?.({ kind: "zone-lost", subject: zone });
        }
        for (const zone of previouslyUnreachable.filter(name => !unreachable.includes(name))) {
            this.options.onEvent?.({ kind: "zone-back", subject: zone });
        }
        this.publishLocalRecord();
        this.sendUpdates();
    }

    private removeExpiredTombstones(): void {
        for (const entry of [...this.store.listEntries()]) {
            if (entry.isGone && this.nowMs - entry.goneAtMs > this.settings.tombstoneRetentionMs) {
                this.store.remove(entry.record.vm);
                this.peerStates.delete(entry.record.vm);
            }
        }
    }

    private listHeartbeatTargets(): Set<string> {
        const targets = new Set(this.selectedNeighbours);
        for (const [vm, peerState] of this.peerStates) {
            if (peerState.temporaryTargetUntilMs >= this.nowMs) {
                targets.add(vm);
            }
        }
        return targets;
    }

    private sendHeartbeats(): void {
        for (const vm of this.listHeartbeatTargets()) {
            this.sendHeartbeat(vm);
        }
    }

    /** Sends a heartbeat to each target for which there are changes to send. */
    private sendUpdates(): void {
        for (const vm of this.listHeartbeatTargets()) {
            const peerState = this.getOrCreatePeerState(vm);
            if (Math.min(peerState.sentRecordChangeNumber, peerState.sentOffsetChangeNumber) < this.store.changes) {
                this.sendHeartbeat(vm, true);
            }
        }
    }

    /** Sends a heartbeat with the changes that the VM has not been sent yet; with `onlyIfChanged`, only if there are any. */
    private sendHeartbeat(vm: string, onlyIfChanged = false): void {
        const peerState = this.getOrCreatePeerState(vm);
        const { store, zoneOffsets, ownZone, nowMs } = this;
        const updates = collectMemberUpdates(vm, { store, zoneOffsets, ownZone, ...peerState, nowMs });
        const isSent = (onlyIfChanged && Object.keys(updates).length === 0) ||
            this.options.send(vm, { ...this.createHeartbeat(vm, this.selectedNeighbours.has(vm)), ...updates });
        if (isSent) {
            peerState.sentRecordChangeNumber = this.store.changes;
            peerState.sentOffsetChangeNumber = this.store.changes;
        }
    }

    /** Creates a heartbeat without member updates. */
    private createHeartbeat(vm: string, wantsHeartbeats = true): Heartbeat {
        const heardAtMs = this.store.get(vm)?.heardAtMs ?? -Infinity;
        return {
            type: "heartbeat",
            incarnation: this.options.self.incarnation,
            heardMs: heardAtMs === -Infinity ? -1 : Math.max(0, Math.round(this.nowMs - heardAtMs)),
            digest: this.store.digest,
            wantsHeartbeats,
        };
    }

    private sendTombstone(vm: string, entry: MemberEntry): void {
        this.options.send(vm, { ...this.createHeartbeat(vm, false), gone: [createTombstone(entry, this.nowMs)] });
    }

    private get ownZone(): string {
        return this.options.self.availabilityZone;
    }

    private publishLocalRecord(): void {
        this.version++;
        const record = {
            ...this.options.self,
            version: this.version,
            state: this.state,
            unreachableZones: [...this.zoneMonitor.unreachable],
        };
        this.store.put(record, "");
    }

    private isVisible(entry: MemberEntry): boolean {
        return !entry.isGone && !findUnreachableZones(this.store, this.ownZone).has(entry.record.availabilityZone);
    }

    private getOrCreatePeerState(vm: string): PeerState {
        let peerState = this.peerStates.get(vm);
        if (peerState === undefined) {
            peerState = {
                sentRecordChangeNumber: this.store.changes,
                sentOffsetChangeNumber: 0,
                digestMismatches: 0,
                lastSyncAtMs: -Infinity,
                temporaryTargetUntilMs: -Infinity,
            };
            this.peerStates.set(vm, peerState);
        }
        return peerState;
    }
}
