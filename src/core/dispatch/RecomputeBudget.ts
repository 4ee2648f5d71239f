const initialTokens = 5_000;
const maxSavedTokens = 30_000;

/** Lets cancelled and moved streams make engines read at most a set share of all tokens a second time. */
export class RecomputeBudget {
    private savedTokens = initialTokens;

    constructor(private readonly share: number) {}

    /** Work done earns a part of it. */
    earn(workedTokens: number): void {
        this.savedTokens = Math.min(maxSavedTokens, this.savedTokens + this.share * workedTokens);
    }

    /** Takes this much out of the budget, if it is there. */
    trySpend(tokens: number): boolean {
        if (this.share === 0 || this.savedTokens < tokens) {
            return false;
        }
        this.savedTokens -= tokens;
        return true;
    }
}
