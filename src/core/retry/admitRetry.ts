import type { AttemptFailure } from "./AttemptFailure.js";
import type { RetryBudget } from "./RetryBudget.js";

interface RetryCandidate {
    readonly failure: AttemptFailure;
    /** The call is idempotent, so it may run more than once. */
    readonly isRepeatable: boolean;
    /** Attempts so far, including the failed one. */
    readonly attempts: number;
    readonly maxAttempts: number;
}

/** Decides whether a failed attempt is retried; if so, takes the retry out of the budget. */
export function admitRetry(candidate: RetryCandidate, budget: RetryBudget): boolean {
    if (candidate.failure.isClientError || candidate.attempts >= candidate.maxAttempts) {
        return false;
    }
    if (candidate.failure.mayHaveRun && !candidate.isRepeatable) {
        return false;
    }
    return budget.trySpend();
}
