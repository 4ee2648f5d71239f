import type { ServiceClass } from "../../schema/config/ServiceClass.js";

/** Applies to a class whose configuration has not reached this VM yet. */
const defaultTokenGapTargetMs = 100;

/** Current service classes, with lookups of the settings that the dispatcher needs. */
export class ServiceClassTable {
    private readonly byName = new Map<string, ServiceClass>();
    /** Sum of the floor shares of all lower tiers, indexed by tier. */
    private readonly floorShareBelowTier: number[] = [];

    set(classes: readonly ServiceClass[]): void {
        this.byName.clear();
        this.floorShareBelowTier.length = 0;
        for (const serviceClass of classes) {
            this.byName.set(serviceClass.name, serviceClass);
            for (let tier = 0; tier < serviceClass.tier; tier++) {
                this.floorShareBelowTier[tier] = (this.floorShareBelowTier[tier] ?? 0) + serviceClass.floorShare;
            }
        }
    }

    tokenGapTargetMs(name: string): number {
        return this.byName.get(name)?.tokenGapTargetMs ?? defaultTokenGapTargetMs;
    }

    canRefuseEarly(name: string): boolean {
        return this.byName.get(name)?.refuseEarly ?? false;
    }

    /** Number of the `totalSlots` slots that are guaranteed to a class even while higher tiers wait. */
    floorSlotsOf(name: string, totalSlots: number): number {
        return Math.ceil((this.byName.get(name)?.floorShare ?? 0) * totalSlots);
    }

    /** Share of an engine's slots that is reserved for requests of lower tiers while it runs any. */
    floorShareBelow(tier: number): number {
        return this.floorShareBelowTier[tier] ?? 0;
    }
}
