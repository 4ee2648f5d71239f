import type { Clock } from "../util/Clock.js";

interface RetryBudgetOptions {
    /** Retries earned by each first attempt, for example 0.2. */
    readonly retriesPerRequest: number;
    /** Retries earned per second regardless of traffic, so that a VM with few requests can retry too. */
    readonly minRetriesPerSecond: number;
    /** Largest number of retries that can be saved up. */
    readonly maxSavedRetries: number;
}

/** Limits retries to a fraction of the requests, so that retries cannot amplify an overload. */
export class RetryBudget {
    private savedRetries: number;
    private refilledAtMs: number;

    constructor(private readonly clock: Clock, private readonly options: RetryBudgetOptions) {
        this.savedRetries = options.maxSavedRetries;
        this.refilledAtMs = clock.nowMs();
    }

    /** Earns a fraction of a retry for a first attempt. */
    recordFirstAttempt(): void {
        this.refill();
        this.addRetries(this.options.retriesPerRequest);
    }

    /** Takes one retry out of the budget; false when the budget is exhausted. */
    trySpend(): boolean {
        this.refill();
        if (this.savedRetries < 1) {
            return false;
        }
        this.savedRetries -= 1;
        return true;
    }

    private refill(): void {
        const nowMs = this.clock.nowMs();
        this.addRetries((nowMs - this.refilledAtMs) / 1000 * this.options.minRetriesPerSecond);
        this.refilledAtMs = nowMs;
    }

    private addRetries(retries: number): void {
        this.savedRetries = Math.min(this.options.maxSavedRetries, this.savedRetries + retries);
    }
}
