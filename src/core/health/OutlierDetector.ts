interface EngineStats {
    /** Moving average of the logarithm of observed over expected latency. */
    logLatencyRatio: number;
    lastObservedAtMs: number;
    lastGrantAtMs: number;
    consecutiveFailures: number;
    /** Observed over expected latency, relative to the median of all engines; at least 1. As of the last refresh or observation. */
    lastSlowdownFactor: number;
}

/** Weight of one observation in the moving average, high enough to detect a slow engine within two observations. */
const smoothingFactor = 0.5;
/** Slowdown factor above which an engine counts as slow. */
const slowThreshold = 1.8;
/** Half-life of the moving average of an engine without observations, so that an engine that gets no requests recovers. */
const ratioHalfLifeMs = 1_000;
/** A slow or broken engine may get one request per interval, which probes whether it has recovered. */
const probeIntervalMs = 500;
/** Added to the observed and the expected latency, so that jitter of short latencies does not count as slowness. */
const jitterAllowanceMs = 10;
/** Interval at which the median and all slowdown factors are recomputed; an observation updates that engine's factor at once. */
const refreshIntervalMs = 10;
/** Consecutive failures after which an engine counts as broken. */
const failuresToBreak = 3;

/** Detects slow and broken engines of a shard from observed results, compared with their peers; the engines' own reports are not used. */
export class OutlierDetector {
    private readonly engines = new Map<string, EngineStats>();
    private refreshedAtMs = -Infinity;
    /** Median of the decayed `logLatencyRatio` of all engines, as of the last refresh. */
    private medianLogRatio = 0;

    /** Sets the engines of the shard: adds new ones without observations and drops all others. */
    setEngines(ids: readonly string[], nowMs: number): void {
        const keptIds = new Set(ids);
        for (const id of this.engines.keys()) {
            if (!keptIds.has(id)) {
                this.engines.delete(id);
            }
        }
        for (const id of ids) {
            if (!this.engines.has(id)) {
                this.engines.set(id, {
                    logLatencyRatio: 0,
                    lastObservedAtMs: nowMs,
                    lastGrantAtMs: -Infinity,
                    consecutiveFailures: 0,
                    lastSlowdownFactor: 1,
                });
            }
        }
        this.refreshedAtMs = -Infinity;
    }

    /** Records a time to first token or a token gap. `expectedMs` is the prediction of the speed model that all engines share. */
    observeLatency(id: string, observedMs: number, expectedMs: number, nowMs: number): void {
        const stats = this.engines.get(id);
        if (stats === undefined || expectedMs <= 0) {
            return;
        }
        const logLatencyRatio = Math.log((observedMs + jitterAllowanceMs) / (expectedMs + jitterAllowanceMs));
        stats.logLatencyRatio = (1 - smoothingFactor) * this.decayLogRatio(stats, nowMs) + smoothingFactor * logLatencyRatio;
        stats.lastObservedAtMs = nowMs;
        this.updateSlowdownFactor(stats, stats.logLatencyRatio);
    }

    /** Records a completed request, which ends a run of failures. */
    recordSuccess(id: string): void {
        const stats = this.engines.get(id);
        if (stats !== undefined) {
            stats.consecutiveFailures = 0;
        }
    }

    /** Records a failed request. */
    recordFailure(id: string): void {
        const stats = this.engines.get(id);
        if (stats !== undefined) {
            stats.consecutiveFailures++;
        }
    }

    /** Observed over expected latency, relative to the median of all engines; at least 1. When all engines are slow, none is an outlier. */
    slowdownFactor(id: string, nowMs: number): number {
        if (nowMs - this.refreshedAtMs >= refreshIntervalMs) {
            this.refresh(nowMs);
        }
        return this.engines.get(id)?.lastSlowdownFactor ?? 1;
    }

    /** Whether the engine is clearly slower than its peers. */
    isSlow(id: string, nowMs: number): boolean {
        return this.slowdownFactor(id, nowMs) > slowThreshold;
    }

    /** Whether the engine has failed several times in a row, while at most half of all engines have. */
    isBroken(id: string): boolean {
        return this.hasFailedRepeatedly(id) && this.countFailedEngines() * 2 <= this.engines.size;
    }

    /** Whether the engine may get a request now as a probe, even if slow or broken. */
    canProbe(id: string, nowMs: number): boolean {
        const stats = this.engines.get(id);
        return stats !== undefined && nowMs - stats.lastGrantAtMs >= probeIntervalMs;
    }

    /** Records that the engine got a request, which also serves as a probe. */
    recordGrant(id: string, nowMs: number): void {
        const stats = this.engines.get(id);
        if (stats !== undefined) {
            stats.lastGrantAtMs = nowMs;
        }
    }

    private hasFailedRepeatedly(id: string): boolean {
        return (this.engines.get(id)?.consecutiveFailures ?? 0) >= failuresToBreak;
    }

    private countFailedEngines(): number {
        let count = 0;
        for (const id of this.engines.keys()) {
            count += this.hasFailedRepeatedly(id) ? 1 : 0;
        }
        return count;
    }

    private decayLogRatio(stats: EngineStats, nowMs: number): number {
        return stats.logLatencyRatio * 0.5 ** (Math.max(0, nowMs - stats.lastObservedAtMs) / ratioHalfLifeMs);
    }

    private refresh(nowMs: number): void {
        this.refreshedAtMs = nowMs;
        const logRatios: number[] = [];
        for (const stats of this.engines.values()) {
            logRatios.push(this.decayLogRatio(stats, nowMs));
        }
        this.medianLogRatio = logRatios.toSorted((left, right) => left - right)[(logRatios.length - 1) >> 1] ?? 0;
        let index = 0;
        for (const stats of this.engines.values()) {
            this.updateSlowdownFactor(stats, logRatios[index++] as number);
        }
    }

    private updateSlowdownFactor(stats: EngineStats, logLatencyRatio: number): void {
        stats.lastSlowdownFactor = Math.exp(Math.max(0, logLatencyRatio - this.medianLogRatio));
    }
}
