import type { AttemptFailure } from "./AttemptFailure.js";
import type { RetryBudget } from "./RetryBudget.js";

interface RetryQuestion {
    readonly failure: AttemptFailure;
    /** The call may be repeated (idempotent). */
    readonly isRepeatable: boolean;
    /** Attempts made so far, the failed one included. */
    readonly attempts: number;
    readonly maxAttempts: number;
}

/** Decides whether a failed attempt is repeated, and takes the retry out of the budget when it is. */
export function admitRetry(question: RetryQuestion, budget: RetryBudget): boolean {
    if (question.failure.isRequestFault || question.attempts >= question.maxAttempts) {
        return false;
    }
    if (question.failure.mayHaveRun && !question.isRepeatable) {
        return false;
    }
    return budget.trySpend();
}
