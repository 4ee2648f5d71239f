import type { ServiceClass } from "../../schema/config/ServiceClass.js";

/** Assumed for a class that is not configured here yet. */
const defaultTokenGapTargetMs = 100;

/** Service classes in force, with what the dispatcher reads of them. */
export class ServiceClassTable {
    private readonly byName = new Map<string, ServiceClass>();
    /** Sum of floor shares below each tier. */
    private readonly floorBelowTier: number[] = [];

    set(classes: readonly ServiceClass[]): void {
        this.byName.clear();
        this.floorBelowTier.length = 0;
        for (const serviceClass of classes) {
            this.byName.set(serviceClass.name, serviceClass);
            for (let tier = 0; tier < serviceClass.tier; tier++) {
                this.floorBelowTier[tier] = (this.floorBelowTier[tier] ?? 0) + serviceClass.floorShare;
            }
        }
    }

    tokenGapTargetMs(name: string): number {
        return this.byName.get(name)?.tokenGapTargetMs ?? defaultTokenGapTargetMs;
    }

    canRefuseEarly(name: string): boolean {
        return this.byName.get(name)?.refuseEarly ?? false;
    }

    /** Slots out of `totalSlots` that a class may hold whatever waits above it. */
    floorSlotsOf(name: string, totalSlots: number): number {
        return Math.ceil((this.byName.get(name)?.floorShare ?? 0) * totalSlots);
    }

    /** Share of an engine's slots that work below a tier keeps while it is there. */
    floorShareBelow(tier: number): number {
        return this.floorBelowTier[tier] ?? 0;
    }
}
