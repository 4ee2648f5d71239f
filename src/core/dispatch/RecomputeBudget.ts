const initialAvailableTokens = 5_000;
const maxAvailableTokens = 30_000;

/** Token bucket that limits the tokens recomputed because of preemption and migration to a share of all processed tokens. */
export class RecomputeBudget {
    private availableTokens = initialAvailableTokens;

    constructor(private readonly share: number) {}

    /** Adds the configured share of the processed tokens to the budget. */
    earn(processedTokens: number): void {
        this.availableTokens = Math.min(maxAvailableTokens, this.availableTokens + this.share * processedTokens);
    }

    /** Spends `tokens` from the budget. Returns false, and spends nothing, if the budget is too small. */
    trySpend(tokens: number): boolean {
        if (this.share === 0 || this.availableTokens < tokens) {
            return false;
        }
        this.availableTokens -= tokens;
        return true;
    }
}
