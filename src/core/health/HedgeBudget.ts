/** Hedges that may be saved up for a moment when an engine slows down. */
const maxSavedHedges = 8;

/** Lets hedging add at most a set share to the work granted. */
export class HedgeBudget {
    private saved = maxSavedHedges / 2;

    constructor(private readonly share: number) {}

    /** Each grant earns a part of a hedge. */
    earn(): void {
        this.saved = Math.min(maxSavedHedges, this.saved + this.share);
    }

    get canSpend(): boolean {
        return this.share > 0 && this.saved >= 1;
    }

    /** Takes one hedge out of the budget; ask `canSpend` first. */
    spend(): void {
        this.saved--;
    }
}
