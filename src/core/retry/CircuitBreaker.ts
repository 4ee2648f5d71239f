import type { Clock } from "../util/Clock.js";

interface CircuitBreakerOptions {
    /** Consecutive failures that open the circuit. */
    readonly failuresToOpen: number;
    /** Time in the open state before the first probe; doubles with each failed probe up to `maxOpenMs`. */
    readonly firstOpenMs: number;
    readonly maxOpenMs: number;
}

/** Stops calls to an upstream after consecutive failures, then probes it with one call at a time until a call succeeds. */
export class CircuitBreaker {
    private consecutiveFailures = 0;
    private openDurationMs = 0;
    private openUntilMs = -Infinity;
    private isProbeInFlight = false;

    constructor(private readonly clock: Clock, private readonly options: CircuitBreakerOptions) {}

    /** Closed: all calls pass. Open: none does. Half-open: one probe at a time does. */
    get state(): "closed" | "open" | "half-open" {
        if (this.openDurationMs === 0) {
            return "closed";
        }
        return this.clock.nowMs() < this.openUntilMs ? "open" : "half-open";
    }

    /**
     * Asks for permission to send one call. Each permitted call ends with `recordSuccess`, `recordFailure` or `releasePermission`; without
     * one of these, a probe blocks all further calls.
     */
    tryAcquirePermission(): boolean {
        if (this.state === "closed") {
            return true;
        }
        if (this.state === "open" || this.isProbeInFlight) {
            return false;
        }
        this.isProbeInFlight = true;
        return true;
    }

    /** Closes the circuit. */
    recordSuccess(): void {
        this.consecutiveFailures = 0;
        this.openDurationMs = 0;
        this.isProbeInFlight = false;
    }

    /** Counts a failure; opens the circuit at the threshold, or again after a failed probe. */
    recordFailure(): void {
        this.consecutiveFailures++;
        if (this.isProbeInFlight || (this.openDurationMs === 0 && this.consecutiveFailures >= this.options.failuresToOpen)) {
            this.openDurationMs = Math.min(this.options.maxOpenMs, Math.max(this.options.firstOpenMs, 2 * this.openDurationMs));
            this.openUntilMs = this.clock.nowMs() + this.openDurationMs;
        }
        this.isProbeInFlight = false;
    }

    /** Records that the call ended without showing whether the upstream works, for example because its caller disconnected. */
    releasePermission(): void {
        this.isProbeInFlight = false;
    }
}
