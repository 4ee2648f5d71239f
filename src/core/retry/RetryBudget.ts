import type { Clock } from "../util/Clock.js";
import type { computeRetryShare } from "./computeRetryShare.js";

interface RetryBudgetOptions {
    /** Retries earned by each first attempt, for example 0.2. */
    readonly retriesPerRequest: number;
    readonly initialSavedRetries: number;
    /** What this VM may use regardless of traffic at the moment, so that a VM with few requests can retry too. */
    readonly getShare: () => ReturnType<typeof computeRetryShare>;
}

/** Limits retries to a fraction of the requests, so that retries cannot amplify an overload. */
export class RetryBudget {
    private savedRetries: number;
    private refilledAtMs: number;

    constructor(private readonly clock: Clock, private readonly options: RetryBudgetOptions) {
        this.savedRetries = options.initialSavedRetries;
        this.refilledAtMs = clock.nowMs();
    }

    /** Earns a fraction of a retry for a first attempt. */
    recordFirstAttempt(): void {
        this.refill(this.options.retriesPerRequest);
    }

    /** Takes one retry out of the budget; false when the budget is exhausted. */
    trySpend(): boolean {
        this.refill(0);
        if (this.savedRetries < 1) {
            return false;
        }
        this.savedRetries -= 1;
        return true;
    }

    /** Adds what has been earned by a request and as time has passed. A share that has become smaller takes saved retries with it. */
    private refill(earnedRetries: number): void {
        const nowMs = this.clock.nowMs();
        const { retriesPerSecond, maxSavedRetries } = this.options.getShare();
        const elapsedMs = nowMs - this.refilledAtMs;
        this.savedRetries = Math.min(maxSavedRetries, this.savedRetries + earnedRetries + elapsedMs / 1_000 * retriesPerSecond);
        this.refilledAtMs = nowMs;
    }
}
