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

/** A tick that comes later than this many periods means that this process itself was paused. */
const pausedTicks = 4;
/** Heartbeat periods for which a VM that sent a heartbeat is sent heartbeats in turn. */
const guestPeriods = 3;

interface Neighbour {
    /** Change counters up to which it has been told all records and offsets. */
    sentRecordChangeNumber: number;
    sentOffsetChangeNumber: number;
    mismatches: number;
    lastSyncMs: number;
    /** Heartbeats go to it until then even when it is not a neighbour by this VM's own view. */
    guestUntilMs: number;
}

interface MembershipTableOptions {
    readonly self: Omit<MemberRecord, "version" | "state" | "unreachableZones">;
    /** Sends without waiting; false when the VM cannot be reached now. */
    readonly send: (vm: string, message: PeerMessage) => boolean;
    /** Told what changed, for the log. */
    readonly onEvent?: (
        event: { readonly kind: "joined" | "gone" | "zone-lost" | "zone-back" | "superseded"; readonly subject: string; },
    ) => void;
    readonly settings?: MembershipSettings;
}

/**
 * Who is alive, without I/O. Each VM exchanges heartbeats with a few neighbours of its zone and, when it is a representative of its zone,
 * with one of another zone; changes travel along the same links. A neighbour that is no longer heard both ways is asked after at other
 * VMs before it is called gone. A zone of which no representative hears anything is left out of the view until it is heard again.
 */
export class MembershipTable {
    private readonly settings: MembershipSettings;
    private readonly store = new MemberStore();
    private readonly neighbours = new Map<string, Neighbour>();
    private readonly zoneOffsets = new ZoneConfigOffsets(this.store);
    private readonly zoneWatch: ZoneMonitor;
    private readonly detector: FailureDetector;
    private listed: ReadonlySet<string> = new Set();
    private watched: ReadonlySet<string> = new Set();
    private watchedAtChanges = -1;
    private watchedAtMs: number;
    private version = 0;
    private state: MemberRecord["state"] = "starting";
    private nowMs: number;
    private nextHeartbeatMs: number;
    private hasLeft = false;
    private isSuperseded = false;
    private membersAt: { readonly changes: number; readonly members: readonly Member[]; } | undefined;

    constructor(private readonly options: MembershipTableOptions, nowMs: number) {
        this.settings = options.settings ?? defaultMembershipSettings;
        this.nowMs = nowMs;
        this.nextHeartbeatMs = nowMs;
        this.watchedAtMs = nowMs;
        const reach = (vm: string) => {
            options.send(vm, this.bareHeartbeatTo(vm));
        };
        this.zoneWatch = new ZoneMonitor(this.store, this.settings, reach);
        this.detector = new FailureDetector(options.self.vm, this.store, this.settings, {
            send: options.send,
            requestHeartbeat: reach,
            sendTombstone: statement => {
                options.send(statement.vm, { ...this.bareHeartbeatTo(statement.vm), gone: [statement] });
            },
            declareGone: statement => {
                this.markGone(statement, "");
            },
            listVisibleVms: () => this.members.map(member => member.vm),
        });
        this.publishSelf();
    }

    /** Differs after every change of what is known. */
    get changeCount(): number {
        return this.store.changes;
    }

    /** VMs in the view, the own one included, in order of their ids. The same array is returned until something changes. */
    get members(): readonly Member[] {
        if (this.membersAt?.changes !== this.store.changes) {
            this.membersAt = { changes: this.store.changes, members: listVisibleMembers(this.store, this.zoneOffsets, this.ownZone) };
        }
        return this.membersAt.members;
    }

    /** VMs that may be alive: those in the view, and those that are only known not to be reachable from here. */
    get possiblyAliveCount(): number {
        let count = 0;
        for (const entry of this.store.all()) {
            const isOutOfReach = !entry.hasLeft
                && (this.listed.has(entry.record.vm) || this.nowMs - entry.goneAtMs < this.settings.possiblyAliveMs);
            if (!entry.isGone || isOutOfReach) {
                count++;
            }
        }
        return count;
    }

    /** Where each VM that is known can be dialled. */
    get peerUrls(): ReadonlyMap<string, string> {
        const addresses = new Map<string, string>();
        for (const { record } of this.store.all()) {
            if (record.vm !== this.options.self.vm) {
                addresses.set(record.vm, record.peerUrl);
            }
        }
        return addresses;
    }

    /** VMs that are known but not in the view, which are dialled now and then in case they can be reached again. */
    get unreachableVms(): readonly string[] {
        const visible = new Set(this.members.map(member => member.vm));
        return [...this.store.all()].map(entry => entry.record.vm).filter(vm => !visible.has(vm));
    }

    /** Sets what this VM tells of itself; a new state is sent to the neighbours at once. */
    updateLocalMember(local: { readonly state?: MemberRecord["state"]; readonly configOffset?: number; }): void {
        if (local.configOffset !== undefined) {
            this.store.setConfigOffset(this.options.self.vm, local.configOffset, "");
        }
        if (local.state !== undefined && local.state !== this.state) {
            this.state = local.state;
            this.publishSelf();
            this.sendHeartbeats();
        }
    }

    /** Tells the neighbours that this VM stops. */
    leave(): void {
        this.hasLeft = true;
        const { vm, incarnation } = this.options.self;
        const gone: MemberTombstone = { vm, incarnation, version: this.version, ageMs: 0, hasLeft: true };
        for (const neighbour of this.targets()) {
            this.options.send(neighbour, { ...this.bareHeartbeatTo(neighbour, false), gone: [gone] });
        }
    }

    /** VMs that the platform's list gives as alive. */
    setListedVms(vms: Iterable<string>): void {
        this.listed = new Set(vms);
    }

    /** A link to `vm` has opened: whoever is new there, or was lost, is told what is known here. */
    handleLinkOpened(vm: string, nowMs: number): void {
        this.nowMs = Math.max(this.nowMs, nowMs);
        const entry = this.store.get(vm);
        const neighbour = this.neighbourOf(vm);
        neighbour.sentOffsetChangeNumber = 0;
        if (entry === undefined || !this.isVisible(entry)) {
            neighbour.guestUntilMs = this.nowMs + guestPeriods * this.settings.heartbeatIntervalMs;
            this.sync(vm, true);
        }
        if (this.targets().has(vm)) {
            this.sendHeartbeat(vm);
        }
    }

    /** Moves time on; to be called every `tickMs`. */
    tick(nowMs: number): void {
        const pausedMs = nowMs - this.nowMs;
        this.nowMs = nowMs;
        if (this.hasLeft) {
            return;
        }
        if (pausedMs > pausedTicks * this.settings.tickMs) {
            this.detector.compensateForPause(pausedMs);
            this.zoneWatch.compensateForPause(pausedMs);
        }
        this.updateWatched();
        this.detector.update(nowMs);
        this.watchZones();
        this.forgetLongGone();
        this.zoneOffsets.updateOwnZone(this.ownZone);
        if (nowMs >= this.nextHeartbeatMs) {
            this.nextHeartbeatMs = nowMs + this.settings.heartbeatIntervalMs;
            this.sendHeartbeats();
        }
        else {
            this.sendNews();
        }
    }

    receive(from: string, message: PeerMessage, nowMs: number): void {
        if (this.hasLeft) {
            return;
        }
        this.nowMs = Math.max(this.nowMs, nowMs);
        switch (message.type) {
            case "heartbeat":
                this.receiveHeartbeat(from, message);
                return;
            case "memberSync":
                this.receiveSync(from, message);
                return;
            case "memberProbe":
                this.detector.receiveProbe(from, message, this.nowMs);
                return;
            case "memberVouch":
                this.detector.receiveVouch(message, this.nowMs);
                return;
        }
    }

    private receiveHeartbeat(from: string, heartbeat: Heartbeat): void {
        for (const record of heartbeat.records ?? []) {
            this.receiveRecord(from, record);
        }
        for (const statement of heartbeat.gone ?? []) {
            this.receiveGone(from, statement);
        }
        for (const [vm, offset] of heartbeat.offsets ?? []) {
            this.store.setConfigOffset(vm, offset, from);
        }
        for (const [zone, offset] of heartbeat.zoneOffsets ?? []) {
            this.zoneOffsets.advance(zone, offset);
        }
        this.noteHeard(from, heartbeat);
        this.compareDigest(from, heartbeat.digest);
    }

    private noteHeard(from: string, heartbeat: Heartbeat): void {
        const entry = this.store.get(from);
        if (entry === undefined) {
            this.sync(from, true);
            return;
        }
        if (entry.record.incarnation !== heartbeat.incarnation) {
            if (heartbeat.incarnation > entry.record.incarnation) {
                this.sync(from, true);
            }
            return;
        }
        entry.heardAtMs = this.nowMs;
        if (heartbeat.heardMs >= 0) {
            this.detector.recordBidirectionalContact(entry, heartbeat.heardMs, this.nowMs);
        }
        if (entry.isGone) {
            this.tellGone(from, entry);
        }
        if (heartbeat.wantsHeartbeats) {
            this.greetGuest(from);
        }
    }

    /** A VM that watches this one gets heartbeats in turn, the first at once. */
    private greetGuest(vm: string): void {
        const neighbour = this.neighbourOf(vm);
        const isNew = neighbour.guestUntilMs < this.nowMs && !this.watched.has(vm);
        neighbour.guestUntilMs = this.nowMs + guestPeriods * this.settings.heartbeatIntervalMs;
        if (isNew) {
            this.options.send(vm, this.bareHeartbeatTo(vm, false));
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
        const before = this.store.get(record.vm);
        const wasAlive = before !== undefined && !before.isGone;
        if (this.store.put(record, from) && !wasAlive) {
            this.options.onEvent?.({ kind: "joined", subject: record.vm });
        }
    }

    private receiveGone(from: string, statement: MemberTombstone): void {
        if (statement.vm === this.options.self.vm) {
            this.refute(statement);
            return;
        }
        const entry = this.store.get(statement.vm);
        if (entry === undefined || entry.isGone || entry.record.incarnation > statement.incarnation) {
            return;
        }
        const isFresh = statement.ageMs < this.settings.maxTrustedTombstoneAgeMs && !this.detector.hasRecentContact(entry);
        if (statement.vm === from || isFresh) {
            this.markGone(statement, from);
        }
        else {
            this.detector.verifyTombstone(statement, entry, this.nowMs);
        }
    }

    /** This VM is alive: a higher version overrides the statement everywhere. */
    private refute(statement: MemberTombstone): void {
        if (statement.incarnation === this.options.self.incarnation && statement.version >= this.version) {
            this.version = statement.version;
            this.publishSelf();
            this.sendNews();
        }
    }

    private markGone(statement: MemberTombstone, toldBy: string): void {
        if (this.store.markGone(statement, this.nowMs, toldBy)) {
            this.options.onEvent?.({ kind: "gone", subject: statement.vm });
            this.sendNews();
        }
    }

    private receiveSync(from: string, sync: MemberSync): void {
        const known = new Map(sync.known.map(([vm, incarnation, version]) => [vm, { incarnation, version }]));
        const records: MemberRecord[] = [];
        const gone: MemberTombstone[] = [];
        const offsets: [string, number][] = [];
        for (const entry of this.store.all()) {
            const other = known.get(entry.record.vm);
            const isSame = other?.incarnation === entry.record.incarnation && other.version === entry.record.version;
            if (entry.isGone && other !== undefined) {
                gone.push(createTombstone(entry, this.nowMs));
            }
            else if (!entry.isGone && !isSame) {
                records.push(entry.record);
                offsets.push([entry.record.vm, entry.configOffset]);
            }
        }
        const zoneOffsets = this.zoneOffsets.since(0);
        this.options.send(from, { ...this.bareHeartbeatTo(from, false), records, gone, offsets, zoneOffsets });
        if (sync.wantsList) {
            this.sync(from, false);
        }
    }

    private compareDigest(from: string, digest: number): void {
        const neighbour = this.neighbourOf(from);
        neighbour.mismatches = digest === this.store.digest ? 0 : neighbour.mismatches + 1;
        if (neighbour.mismatches >= this.settings.digestMismatchesBeforeSync) {
            this.sync(from, true);
        }
    }

    /** Compares all members with one VM, not more often than every `syncMs`. */
    private sync(vm: string, wantsList: boolean): void {
        const neighbour = this.neighbourOf(vm);
        if (wantsList && this.nowMs - neighbour.lastSyncMs < this.settings.minSyncIntervalMs) {
            return;
        }
        const known = [...this.store.all()]
            .filter(entry => !entry.isGone)
            .map(({ record }): [string, string, number] => [record.vm, record.incarnation, record.version]);
        if (this.options.send(vm, { type: "memberSync", known, wantsList })) {
            neighbour.lastSyncMs = this.nowMs;
            neighbour.mismatches = 0;
        }
    }

    /** Finds out whom to watch, after each change of what is known. */
    private updateWatched(): void {
        if (this.watchedAtChanges === this.store.changes) {
            return;
        }
        if (
            this.nowMs - this.watchedAtMs < this.settings.minNeighbourSelectionIntervalMs &&
            ![...this.watched].some(vm => this.store.get(vm)?.isGone)
        ) {
            return;
        }
        this.watchedAtMs = this.nowMs;
        this.watchedAtChanges = this.store.changes;
        const zones = this.store.groupVmsByZone();
        const { vm, availabilityZone } = this.options.self;
        const ownZone = zones.get(availabilityZone) ?? [];
        const watched = new Set(selectRingNeighbours(vm, ownZone));
        for (const entry of this.store.all()) {
            if (entry.record.vm !== vm && entry.record.availabilityZone === availabilityZone) {
                const isWatched = watched.has(entry.record.vm);
                entry.watchedSinceMs = !isWatched ? -Infinity : Math.max(entry.watchedSinceMs, -1) < 0 ? this.nowMs : entry.watchedSinceMs;
            }
        }
        for (const [zone, vms] of zones) {
            if (zone !== availabilityZone) {
                this.addPartners(watched, zone, vms, ownZone);
            }
        }
        this.watched = watched;
    }

    /** Adds the VMs of another zone that this VM is linked to as a representative of its own. */
    private addPartners(watched: Set<string>, zone: string, vms: readonly string[], ownZone: readonly string[]): void {
        const { vm, availabilityZone } = this.options.self;
        const own = selectZoneRepresentatives(availabilityZone, zone, ownZone);
        const others = selectZoneRepresentatives(zone, availabilityZone, vms);
        for (let index = 0; index < Math.max(own.length, others.length); index++) {
            const partner = others[index % others.length];
            if (own[index % own.length] === vm && partner !== undefined) {
                watched.add(partner);
            }
        }
        this.zoneWatch.setRepresentative(zone, own.includes(vm), this.nowMs);
    }

    /** As a representative: tells which zones are not heard. */
    private watchZones(): void {
        const before = this.zoneWatch.unreachable;
        if (!this.zoneWatch.update(this.nowMs)) {
            return;
        }
        const { unreachable } = this.zoneWatch;
        for (const zone of unreachable.filter(name => !before.includes(name))) {
            this.options.onEvent?.({ kind: "zone-lost", subject: zone });
        }
        for (const zone of before.filter(name => !unreachable.includes(name))) {
            this.options.onEvent?.({ kind: "zone-back", subject: zone });
        }
        this.publishSelf();
        this.sendNews();
    }

    private forgetLongGone(): void {
        for (const entry of [...this.store.all()]) {
            if (entry.isGone && this.nowMs - entry.goneAtMs > this.settings.tombstoneRetentionMs) {
                this.store.remove(entry.record.vm);
                this.neighbours.delete(entry.record.vm);
            }
        }
    }

    private targets(): Set<string> {
        const targets = new Set(this.watched);
        for (const [vm, neighbour] of this.neighbours) {
            if (neighbour.guestUntilMs >= this.nowMs) {
                targets.add(vm);
            }
        }
        return targets;
    }

    private sendHeartbeats(): void {
        for (const vm of this.targets()) {
            this.sendHeartbeat(vm);
        }
    }

    /** Sends to those neighbours that have something to learn. */
    private sendNews(): void {
        for (const vm of this.targets()) {
            const neighbour = this.neighbourOf(vm);
            if (Math.min(neighbour.sentRecordChangeNumber, neighbour.sentOffsetChangeNumber) < this.store.changes) {
                this.sendHeartbeat(vm, true);
            }
        }
    }

    /** Sends a heartbeat with what the neighbour has not been told yet; with `onlyNews`, only when there is something. */
    private sendHeartbeat(vm: string, onlyNews = false): void {
        const neighbour = this.neighbourOf(vm);
        const { store, zoneOffsets, ownZone, nowMs } = this;
        const news = collectMemberUpdates(vm, { store, zoneOffsets, ownZone, ...neighbour, nowMs });
        const isSent = (onlyNews && Object.keys(news).length === 0) ||
            this.options.send(vm, { ...this.bareHeartbeatTo(vm, this.watched.has(vm)), ...news });
        if (isSent) {
            neighbour.sentRecordChangeNumber = this.store.changes;
            neighbour.sentOffsetChangeNumber = this.store.changes;
        }
    }

    private bareHeartbeatTo(vm: string, wantsHeartbeats = true): Heartbeat {
        const heardAtMs = this.store.get(vm)?.heardAtMs ?? -Infinity;
        return {
            type: "heartbeat",
            incarnation: this.options.self.incarnation,
            heardMs: heardAtMs === -Infinity ? -1 : Math.max(0, Math.round(this.nowMs - heardAtMs)),
            digest: this.store.digest,
            wantsHeartbeats,
        };
    }

    private tellGone(vm: string, entry: MemberEntry): void {
        this.options.send(vm, { ...this.bareHeartbeatTo(vm, false), gone: [createTombstone(entry, this.nowMs)] });
    }

    private get ownZone(): string {
        return this.options.self.availabilityZone;
    }

    private publishSelf(): void {
        this.version++;
        const record = {
            ...this.options.self,
            version: this.version,
            state: this.state,
            unreachableZones: [...this.zoneWatch.unreachable],
        };
        this.store.put(record, "");
    }

    private isVisible(entry: MemberEntry): boolean {
        return !entry.isGone && !findUnreachableZones(this.store, this.ownZone).has(entry.record.availabilityZone);
    }

    private neighbourOf(vm: string): Neighbour {
        let neighbour = this.neighbours.get(vm);
        if (neighbour === undefined) {
            neighbour = {
                sentRecordChangeNumber: this.store.changes,
                sentOffsetChangeNumber: 0,
                mismatches: 0,
                lastSyncMs: -Infinity,
                guestUntilMs: -Infinity,
            };
            this.neighbours.set(vm, neighbour);
        }
        return neighbour;
    }
}
