import type { Clock } from "../util/Clock.js";
import type { computeRetryShare } from "./computeRetryShare.js";

interface RetryBudgetOptions {
    /** Retries earned by each first attempt, for example 0.2. */
    readonly retriesPerRequest: number;
    readonly initialSavedRetries: number;
    /** What this VM may use regardless of traffic at the moment, so that a VM with few requests can retry too. */
    readonly getShare: () => ReturnType<typeof computeRetryShare>;
}

/**
 * Largest number of spare retries. One for each VM keeps all VMs together within the slack of the fleet also when all spend theirs at once:
 * it adds 0.4 of the slack with 87 VMs, which use up to 0.2 of it for retries (`simulateRetryShares`).
 */
const maxSpareRetries = 1;

/** Limits retries to a fraction of the requests, so that retries cannot amplify an overload. */
export class RetryBudget {
    private savedRetries: number;
    /** Retries earned by requests while no more could be saved; only hedges use them, so that a hedge takes none from a failed request. */
    private spareRetries = 0;
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

    /** Takes one retry out of those that were earned while the budget was full; false when there is none. */
    trySpendSpare(): boolean {
        this.refill(0);
        if (this.spareRetries < 1) {
            return false;
        }
        this.spareRetries -= 1;
        return true;
    }

    /** Adds what has been earned by a request and as time has passed. A share that has become smaller takes saved retries with it. */
    private refill(earnedRetries: number): void {
        const nowMs = this.clock.nowMs();
        const { retriesPerSecond, maxSavedRetries } = this.options.getShare();
        const elapsedMs = nowMs - this.refilledAtMs;
        const uncappedRetries = this.savedRetries + earnedRetries + elapsedMs / 1_000 * retriesPerSecond;
        this.savedRetries = Math.min(maxSavedRetries, uncappedRetries);
        const unsavedRetries = Math.min(earnedRetries, uncappedRetries - this.savedRetries);
        this.spareRetries = Math.min(maxSpareRetries, this.spareRetries + unsavedRetries);
        this.refilledAtMs = nowMs;
    }
}
