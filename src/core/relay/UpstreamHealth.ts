interface HealthRecord {
    consecutiveFailures: number;
    avoidUntilMs: number;
}

/** How long an upstream is avoided after its first failure; doubled with each consecutive failure up to the maximum. */
const initialAvoidMs = 400;
const maxAvoidMs = 3_000;

/** Tracks recent failures of upstreams, as observed by this VM, and avoids these upstreams with exponential backoff. */
export class UpstreamHealth {
    private readonly records = new Map<string, HealthRecord>();

    /** Records that the upstream was unreachable or that a connection to it broke. Returns how long it is avoided, in milliseconds. */
    recordFailure(id: string, nowMs: number): number {
        const record = this.records.get(id) ?? { consecutiveFailures: 0, avoidUntilMs: 0 };
        record.consecutiveFailures++;
        const avoidMs = Math.min(maxAvoidMs, initialAvoidMs * 2 ** (record.consecutiveFailures - 1));
        record.avoidUntilMs = nowMs + avoidMs;
        this.records.set(id, record);
        return avoidMs;
    }

    /** Records a successful call and resets the backoff. Returns whether the upstream had failed before. */
    recordSuccess(id: string): boolean {
        return this.records.delete(id);
    }

    isAvoided(id: string, nowMs: number): boolean {
        return (this.records.get(id)?.avoidUntilMs ?? 0) > nowMs;
    }
}
