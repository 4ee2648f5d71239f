import type { Clock } from "../util/Clock.js";

interface RetryBudgetOptions {
    /** Retries earned by each first attempt, such as 0.2. */
    readonly retriesPerRequest: number;
    /** Retries a second that are always allowed, so that a quiet VM may retry too. */
    readonly minRetriesPerSecond: number;
    /** Most retries saved up. */
    readonly maxSavedRetries: number;
}

/** Bounds retries to a share of the requests, so that retries cannot multiply an overload. */
export class RetryBudget {
    private saved: number;
    private updatedMs: number;

    constructor(private readonly clock: Clock, private readonly options: RetryBudgetOptions) {
        this.saved = options.maxSavedRetries;
        this.updatedMs = clock.nowMs();
    }

    /** Counts a first attempt. */
    earn(): void {
        this.refill();
        this.add(this.options.retriesPerRequest);
    }

    /** Takes one retry out of the budget; false when there is none left. */
    trySpend(): boolean {
        this.refill();
        if (this.saved < 1) {
            return false;
        }
        this.saved -= 1;
        return true;
    }

    private refill(): void {
        const nowMs = this.clock.nowMs();
        this.add((nowMs - this.updatedMs) / 1000 * this.options.minRetriesPerSecond);
        this.updatedMs = nowMs;
    }

    private add(retries: number): void {
        this.saved = Math.min(this.options.maxSavedRetries, this.saved + retries);
    }
}
