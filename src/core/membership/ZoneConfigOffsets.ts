import type { MemberStore } from "./MemberStore.js";

interface ZoneOffset {
    readonly offset: number;
    /** Value of the store's change counter when the offset last changed. */
    readonly changeNumber: number;
}

/** Lowest offset of the configuration in force in each zone, as reported by the VMs of the zone. Offsets never decrease. */
export class ZoneConfigOffsets {
    private readonly offsets = new Map<string, ZoneOffset>();

    constructor(private readonly store: MemberStore) {}

    /** Offset of a zone; -1 if unknown. */
    get(zone: string): number {
        return this.offsets.get(zone)?.offset ?? -1;
    }

    /** Zones whose offset changed after `changeNumber`, with the offset. */
    listChangedSince(changeNumber: number): [string, number][] {
        return [...this.offsets]
            .filter(([, entry]) => entry.changeNumber > changeNumber)
            .map(([zone, { offset }]): [string, number] => [zone, offset]);
    }

    /** Raises the offset of a zone; a lower or equal one is ignored. */
    advance(zone: string, offset: number): void {
        if (offset > this.get(zone)) {
            this.offsets.set(zone, { offset, changeNumber: ++this.store.changes });
        }
    }

    /** Computes the offset of the local zone from its VMs, without those that are still starting. */
    updateOwnZone(zone: string): void {
        let lowestOffset = Infinity;
        for (const { isGone, record, configOffset } of this.store.listEntries()) {
            if (!isGone && record.availabilityZone === zone && record.state !== "starting") {
                lowestOffset = Math.min(lowestOffset, configOffset);
            }
        }
        if (lowestOffset !== Infinity) {
            this.advance(zone, lowestOffset);
        }
    }
}
