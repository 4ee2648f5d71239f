import type { MemberEntry } from "./MemberEntry.js";
import type { MembershipSettings } from "./MembershipSettings.js";
import type { MemberStore } from "./MemberStore.js";

/** How many members of another zone are tried at once when its representatives are not heard. */
const triedMembers = 3;

/** What a representative of a zone hears of the zones that it is linked to. */
export class ZoneMonitor {
    /** Zones of which nothing is heard, in order of their names. */
    unreachable: readonly string[] = [];
    private readonly sinceMs = new Map<string, number>();
    private readonly lastTriedMs = new Map<string, number>();
    private rotation = 0;

    /** `tryMember` sends to a VM so that it answers when it can be reached. */
    constructor(
        private readonly store: MemberStore,
        private readonly settings: MembershipSettings,
        private readonly tryMember: (vm: string) => void,
    ) {}

    /** Says whether this VM represents its own zone towards `zone`. */
    setRepresentative(zone: string, isRepresentative: boolean, nowMs: number): void {
        if (!isRepresentative) {
            this.sinceMs.delete(zone);
        }
        else if (!this.sinceMs.has(zone)) {
            this.sinceMs.set(zone, nowMs);
        }
    }

    /** Looks at all zones; true when `unreachable` has changed. */
    update(nowMs: number): boolean {
        const unreachable: string[] = [];
        for (const [zone, sinceMs] of this.sinceMs) {
            const entries = [...this.store.all()].filter(entry => !entry.isGone && entry.record.availabilityZone === zone);
            if (entries.length === 0) {
                continue;
            }
            const silentMs = nowMs - Math.max(sinceMs, ...entries.map(entry => entry.bidirectionalContactAtMs));
            if (silentMs > this.settings.suspectAfterMs) {
                this.tryZone(zone, entries, nowMs);
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

    /** What was not heard while this process stood still is no sign of anything. */
    compensateForPause(pausedMs: number): void {
        for (const [zone, sinceMs] of this.sinceMs) {
            this.sinceMs.set(zone, sinceMs + pausedMs);
        }
    }

    private tryZone(zone: string, entries: readonly MemberEntry[], nowMs: number): void {
        if (nowMs - (this.lastTriedMs.get(zone) ?? -Infinity) < this.settings.probeIntervalMs) {
            return;
        }
        this.lastTriedMs.set(zone, nowMs);
        for (let index = 0; index < Math.min(triedMembers, entries.length); index++) {
            const entry = entries[this.rotation++ % entries.length] as MemberEntry;
            this.tryMember(entry.record.vm);
        }
    }
}
