import type { Clock } from "../util/Clock.js";
import { CircuitBreaker } from "./CircuitBreaker.js";

const breakerOptions = { failuresToOpen: 5, firstOpenMs: 500, maxOpenMs: 10_000 };
const maxBreakers = 8_192;

/** Circuit breakers of the upstreams that this VM calls, one each. At most `maxBreakers` are kept; the one created first is evicted. */
export class CircuitBreakerRegistry {
    private readonly breakers = new Map<string, CircuitBreaker>();

    constructor(private readonly clock: Clock) {}

    /** The upstream's circuit breaker; a new one starts closed. */
    getOrCreate(upstreamId: string): CircuitBreaker {
        let breaker = this.breakers.get(upstreamId);
        if (breaker === undefined) {
            this.evictOldestIfFull();
            breaker = new CircuitBreaker(this.clock, breakerOptions);
            this.breakers.set(upstreamId, breaker);
        }
        return breaker;
    }

    private evictOldestIfFull(): void {
        const oldest = this.breakers.keys().next().value;
        if (this.breakers.size >= maxBreakers && oldest !== undefined) {
            this.breakers.delete(oldest);
        }
    }
}
