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

    /** Takes one hedge out of the budget, if there is one. */
    spend(): boolean {
        if (this.saved < 1) {
            return false;
        }
        this.saved--;
        return true;
    }
}
