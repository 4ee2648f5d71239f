import type { MemberStore } from "./MemberStore.js";

interface ZoneOffset {
    readonly offset: number;
    readonly change: number;
}

/** Least offset of the configuration in force in each zone, as told by its VMs. It only grows. */
export class ZoneConfigOffsets {
    private readonly offsets = new Map<string, ZoneOffset>();

    constructor(private readonly store: MemberStore) {}

    get(zone: string): number {
        return this.offsets.get(zone)?.offset ?? -1;
    }

    /** Zones whose offset has grown after `change`. */
    since(change: number): [string, number][] {
        return [...this.offsets]
            .filter(([, entry]) => entry.change > change)
            .map(([zone, { offset }]): [string, number] => [zone, offset]);
    }

    advance(zone: string, offset: number): void {
        if (offset > this.get(zone)) {
            this.offsets.set(zone, { offset, change: ++this.store.changes });
        }
    }

    /** Works the offset of the own zone out from its VMs; those that start do not count yet. */
    updateOwnZone(zone: string): void {
        let least = Infinity;
        for (const { isGone, record, configOffset } of this.store.all()) {
            if (!isGone && record.availabilityZone === zone && record.state !== "starting") {
                least = Math.min(least, configOffset);
            }
        }
        if (least !== Infinity) {
            this.advance(zone, least);
        }
    }
}
