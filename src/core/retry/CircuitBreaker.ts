import type { Clock } from "../util/Clock.js";

interface CircuitBreakerOptions {
    /** Failures in a row that open the circuit. */
    readonly failuresToOpen: number;
    /** Time in the open state before one call may try again; doubles with each failed try. */
    readonly firstOpenMs: number;
    readonly maxOpenMs: number;
}

/** Stops sending to an upstream that fails call after call, and tries it again with one call at a time. */
export class CircuitBreaker {
    private failuresInRow = 0;
    private openMs = 0;
    private openUntilMs = -Infinity;
    private isTrying = false;

    constructor(private readonly clock: Clock, private readonly options: CircuitBreakerOptions) {}

    get state(): "closed" | "open" | "half-open" {
        if (this.openMs === 0) {
            return "closed";
        }
        return this.clock.nowMs() < this.openUntilMs ? "open" : "half-open";
    }

    /** Asks for leave to send one call; each call that had leave reports `succeeded`, `failed` or `abandoned`. */
    tryAcquirePermission(): boolean {
        if (this.state === "closed") {
            return true;
        }
        if (this.state === "open" || this.isTrying) {
            return false;
        }
        this.isTrying = true;
        return true;
    }

    recordSuccess(): void {
        this.failuresInRow = 0;
        this.openMs = 0;
        this.isTrying = false;
    }

    recordFailure(): void {
        this.failuresInRow++;
        if (this.isTrying || (this.openMs === 0 && this.failuresInRow >= this.options.failuresToOpen)) {
            this.openMs = Math.min(this.options.maxOpenMs, Math.max(this.options.firstOpenMs, 2 * this.openMs));
            this.openUntilMs = this.clock.nowMs() + this.openMs;
        }
        this.isTrying = false;
    }

    /** The call ended without telling anything about the upstream, for example because its caller went. */
    releasePermission(): void {
        this.isTrying = false;
    }
}
