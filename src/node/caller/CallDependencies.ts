import type { CircuitBreakerRegistry } from "../../core/retry/CircuitBreakerRegistry.js";
import type { RetryBudget } from "../../core/retry/RetryBudget.js";
import type { CallerLimits } from "./CallerLimits.js";
import type { CallerServerOptions } from "./CallerServerOptions.js";

/** What a call depends on: the server's options with defaults applied to the limits, and the retry budget and circuit breakers that all calls share. */
export interface CallDependencies extends Omit<CallerServerOptions, "callerLimits"> {
    readonly callerLimits: CallerLimits;
    readonly retryBudget: RetryBudget;
    readonly circuitBreakers: CircuitBreakerRegistry;
    /** Delays the end of the VM's drain until `operation` has settled, even if its caller disconnects. */
    readonly trackInFlight: <T>(operation: Promise<T>) => Promise<T>;
}
