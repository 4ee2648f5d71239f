interface EngineRecord {
    /** Fast average of the logarithm of seen over expected time. */
    logRatio: number;
    lastSeenMs: number;
    lastGrantMs: number;
    failuresInRow: number;
    /** Seen over expected time against the peers' middle, as of the last refresh; 1 at least. */
    lastSlowdownFactor: number;
}

/** Share that one observation takes of the average: two slow ones in a row show. */
const fastShare = 0.5;
/** An engine slower than its peers by this much is slow. */
const slowRatio = 1.8;
/** Time after which an engine without observations is trusted half as little in its bad record. */
const forgiveHalfLifeMs = 1_000;
/** A slow or broken engine is given one request per this time, to see whether it has recovered. */
const probePeriodMs = 500;
/** Added to both times, so that jitter of short ones does not look like slowness. */
const noiseMs = 10;
/** The peers' middle, and with it all slowness, is worked out anew after this time; an engine that was observed is judged at once. */
const refreshPeriodMs = 10;
const failuresToBreak = 3;

/** Judges the engines of one shard by what is seen of them against their peers, never by their own reports. */
export class OutlierDetector {
    private readonly engines = new Map<string, EngineRecord>();
    private refreshedMs = -Infinity;
    /** Middle of the logarithms of all engines, as of the last refresh. */
    private middle = 0;

    /** Keeps records for these engines only. */
    setEngines(ids: readonly string[], nowMs: number): void {
        const wanted = new Set(ids);
        for (const id of this.engines.keys()) {
            if (!wanted.has(id)) {
                this.engines.delete(id);
            }
        }
        for (const id of ids) {
            if (!this.engines.has(id)) {
                this.engines.set(id, { logRatio: 0, lastSeenMs: nowMs, lastGrantMs: -Infinity, failuresInRow: 0, lastSlowdownFactor: 1 });
            }
        }
        this.refreshedMs = -Infinity;
    }

    /** A first token or a stretch of tokens took `seenMs` where the model of all engines expected `expectedMs`. */
    observeLatency(id: string, seenMs: number, expectedMs: number, nowMs: number): void {
        const record = this.engines.get(id);
        if (record === undefined || expectedMs <= 0) {
            return;
        }
        const logRatio = Math.log((seenMs + noiseMs) / (expectedMs + noiseMs));
        record.logRatio = (1 - fastShare) * this.forgiven(record, nowMs) + fastShare * logRatio;
        record.lastSeenMs = nowMs;
        this.judge(record, record.logRatio);
    }

    /** A request on it came through. */
    recordSuccess(id: string): void {
        const record = this.engines.get(id);
        if (record !== undefined) {
            record.failuresInRow = 0;
        }
    }

    recordFailure(id: string): void {
        const record = this.engines.get(id);
        if (record !== undefined) {
            record.failuresInRow++;
        }
    }

    /** Seen over expected time against the middle of all engines, 1 at least: when all are slow, none is. */
    slowdownFactor(id: string, nowMs: number): number {
        if (nowMs - this.refreshedMs >= refreshPeriodMs) {
            this.refresh(nowMs);
        }
        return this.engines.get(id)?.lastSlowdownFactor ?? 1;
    }

    isSlow(id: string, nowMs: number): boolean {
        return this.slowdownFactor(id, nowMs) > slowRatio;
    }

    /** Failed several times in a row while most of its peers did not. */
    isBroken(id: string): boolean {
        return this.hasFailed(id) && this.brokenCount() * 2 <= this.engines.size;
    }

    /** Whether it may get a request now, though slow or broken, to see whether it has recovered. */
    canProbe(id: string, nowMs: number): boolean {
        const record = this.engines.get(id);
        return record !== undefined && nowMs - record.lastGrantMs >= probePeriodMs;
    }

    /** It was given a request, which shows how it does. */
    recordGrant(id: string, nowMs: number): void {
        const record = this.engines.get(id);
        if (record !== undefined) {
            record.lastGrantMs = nowMs;
        }
    }

    private hasFailed(id: string): boolean {
        return (this.engines.get(id)?.failuresInRow ?? 0) >= failuresToBreak;
    }

    private brokenCount(): number {
        let count = 0;
        for (const id of this.engines.keys()) {
            count += this.hasFailed(id) ? 1 : 0;
        }
        return count;
    }

    private forgiven(record: EngineRecord, nowMs: number): number {
        return record.logRatio * 0.5 ** (Math.max(0, nowMs - record.lastSeenMs) / forgiveHalfLifeMs);
    }

    private refresh(nowMs: number): void {
        this.refreshedMs = nowMs;
        const ratios: number[] = [];
        for (const record of this.engines.values()) {
            ratios.push(this.forgiven(record, nowMs));
        }
        this.middle = ratios.toSorted((left, right) => left - right)[(ratios.length - 1) >> 1] ?? 0;
        let index = 0;
        for (const record of this.engines.values()) {
            this.judge(record, ratios[index++] as number);
        }
    }

    private judge(record: EngineRecord, logRatio: number): void {
        record.lastSlowdownFactor = Math.exp(Math.max(0, logRatio - this.middle));
    }
}
