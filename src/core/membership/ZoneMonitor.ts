import type { MemberEntry } from "./MemberEntry.js";
import type { MembershipSettings } from "./MembershipSettings.js";
import type { MemberStore } from "./MemberStore.js";

/** Maximum number of members probed in one round in a zone without recent contact. */
const maxProbedMembers = 3;

/** Tracks, on a representative of a zone, whether the linked zones are reachable. */
export class ZoneMonitor {
    /** Zones without bidirectional contact to any member for `goneAfterMs`, ordered by name. */
    unreachable: readonly string[] = [];
    /** When this VM became a representative of its zone towards each linked zone. */
    private readonly representativeSinceMs = new Map<string, number>();
    private readonly lastProbeAtMs = new Map<string, number>();
    private roundRobinIndex = 0;

    /** `probeMember` sends a VM a heartbeat that requests one in return. */
    constructor(
        private readonly store: MemberStore,
        private readonly settings: MembershipSettings,
        private readonly probeMember: (vm: string) => void,
    ) {}

    /** Sets whether this VM represents its own zone towards `zone`. */
    setRepresentative(zone: string, isRepresentative: boolean, nowMs: number): void {
        if (!isRepresentative) {
            this.representativeSinceMs.delete(zone);
        }
        else if (!this.representativeSinceMs.has(zone)) {
            this.representativeSinceMs.set(zone, nowMs);
        }
    }

    /** Updates `unreachable` and probes zones without recent contact; returns whether `unreachable` has changed. */
    update(nowMs: number): boolean {
        const unreachable: string[] = [];
        for (const [zone, sinceMs] of this.representativeSinceMs) {
            const entries = [...this.store.listEntries()].filter(entry => !entry.isGone && entry.record.availabilityZone === zone);
            if (entries.length === 0) {
                continue;
            }
            const silentMs = nowMs - Math.max(sinceMs, ...entries.map(entry => entry.bidirectionalContactAtMs));
            if (silentMs > this.settings.suspectAfterMs) {
                this.probeZone(zone, entries, nowMs);
            }
            if (silentMs > this.settings.goneAfterMs) {
                unreachable.push(zone);
            }
        }
        unreachable.sort();
        const hasChanged = unreachable.join() !== this.unreachable.join();
        this.unreachable = unreachable;
        return hasChanged;
    }

    /** Shifts the start times by a pause of this process, as silence during the pause says nothing about other zones. */
    compensateForPause(pausedMs: number): void {
        for (const [zone, sinceMs] of this.representativeSinceMs) {
            this.representativeSinceMs.set(zone, sinceMs + pausedMs);
        }
    }

    private probeZone(zone: string, entries: readonly MemberEntry[], nowMs: number): void {
        if (nowMs - (this.lastProbeAtMs.get(zone) ?? -Infinity) < this.settings.probeIntervalMs) {
            return;
        }
        this.lastProbeAtMs.set(zone, nowMs);
        for (let index = 0; index < Math.min(maxProbedMembers, entries.length); index++) {
            const entry = entries[this.roundRobinIndex++ % entries.length] as MemberEntry;
            this.probeMember(entry.record.vm);
        }
    }
}
