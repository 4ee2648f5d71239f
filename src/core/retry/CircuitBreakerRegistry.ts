import type { Clock } from "../util/Clock.js";
import { CircuitBreaker } from "./CircuitBreaker.js";

const options = { failuresToOpen: 5, firstOpenMs: 500, maxOpenMs: 10_000 };
const maxBreakers = 8_192;

/** The circuit breakers of all upstreams that this VM calls. */
export class CircuitBreakerRegistry {
    private readonly breakers = new Map<string, CircuitBreaker>();

    constructor(private readonly clock: Clock) {}

    getOrCreate(upstreamId: string): CircuitBreaker {
        let breaker = this.breakers.get(upstreamId);
        if (breaker === undefined) {
            this.forgetOldest();
            breaker = new CircuitBreaker(this.clock, options);
            this.breakers.set(upstreamId, breaker);
        }
        return breaker;
    }

    private forgetOldest(): void {
        const oldest = this.breakers.keys().next().value;
        if (this.breakers.size >= maxBreakers && oldest !== undefined) {
            this.breakers.delete(oldest);
        }
    }
}
