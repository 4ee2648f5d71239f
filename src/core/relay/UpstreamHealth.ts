interface HealthRecord {
    failuresInRow: number;
    avoidUntilMs: number;
}

/** An upstream that failed is left alone this long, doubled with each further failure in a row. */
const firstAvoidMs = 400;
const maxAvoidMs = 3_000;

/** Which upstreams failed lately, as this VM has seen it. */
export class UpstreamHealth {
    private readonly records = new Map<string, HealthRecord>();

    /** The upstream could not be reached, or a connection to it broke. Returns how long it is avoided. */
    recordFailure(id: string, nowMs: number): number {
        const record = this.records.get(id) ?? { failuresInRow: 0, avoidUntilMs: 0 };
        record.failuresInRow++;
        const avoidMs = Math.min(maxAvoidMs, firstAvoidMs * 2 ** (record.failuresInRow - 1));
        record.avoidUntilMs = nowMs + avoidMs;
        this.records.set(id, record);
        return avoidMs;
    }

    /** A call came through; true when the upstream had failed before. */
    recordSuccess(id: string): boolean {
        return this.records.delete(id);
    }

    isAvoided(id: string, nowMs: number): boolean {
        return (this.records.get(id)?.avoidUntilMs ?? 0) > nowMs;
    }
}
