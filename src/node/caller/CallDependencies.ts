import type { CircuitBreakerRegistry } from "../../core/retry/CircuitBreakerRegistry.js";
import type { RetryBudget } from "../../core/retry/RetryBudget.js";
import type { CallerLimits } from "./CallerLimits.js";
import type { CallerServerOptions } from "./CallerServerOptions.js";

/** What one call needs: the server's options, with limits filled in, the retry budget and the circuit breakers that all calls share. */
export interface CallDependencies extends Omit<CallerServerOptions, "callerLimits"> {
    readonly callerLimits: CallerLimits;
    readonly retryBudget: RetryBudget;
    readonly breakers: CircuitBreakerRegistry;
    /** Keeps the VM from ending its drain before `work` has settled, also when its caller has gone. */
    readonly trackInFlight: <T>(work: Promise<T>) => Promise<T>;
}
