/** Largest number of hedges that can be saved up for the time when an engine slows down. */
const maxSavedHedges = 8;

/** Limits hedges (second grants for slow requests) to a fraction of the grants. */
export class HedgeBudget {
    /** `hedgeShare` is the number of hedges earned per grant; 0 disables hedging. `savedHedges` is the number saved at the start. */
    constructor(private readonly hedgeShare: number, private savedHedges = maxSavedHedges / 2) {}

    /** Earns a fraction of a hedge for a grant. */
    recordGrant(): void {
        this.savedHedges = Math.min(maxSavedHedges, this.savedHedges + this.hedgeShare);
    }

    /** Whether the budget holds at least one hedge. */
    get canSpend(): boolean {
        return this.hedgeShare > 0 && this.savedHedges >= 1;
    }

    /** Takes one hedge out of the budget; call only when `canSpend` is true. */
    spend(): void {
        this.savedHedges--;
    }
}
