/** Weight of a new token gap in the exponential moving average. */
const gapAverageWeight = 0.2;
/** A token gap longer than this many times the recent average, and longer than `minGapSpikeMs`, is reported immediately. */
const minGapSpikeRatio = 2.5;
const minGapSpikeMs = 50;
const minGapSpikeReportIntervalMs = 150;
/** Maximum time between reports while tokens arrive, so that the dispatcher does not treat the grant as lost. */
const keepAliveIntervalMs = 5_000;
/** Number of output tokens after which the average token gap is first reported. */
const firstAverageReportTokens = 8;

/**
 * Decides when an entry VM reports a stream's progress to the dispatcher: at the first token, at a low rate while the stream runs at normal
 * speed, and immediately on an unusually long token gap.
 */
export class ProgressReporter {
    outputTokens = 0;
    /** Time from the grant to the first token; 0 before it. */
    firstTokenMs = 0;
    maxGapMs = 0;
    private lastTokenAtMs = 0;
    private lastReportAtMs = 0;
    private averageGapMs = 0;
    private latestGapMs = 0;

    constructor(private readonly grantedAtMs: number) {}

    /** Token gap to report: the latest if it is unusually long, otherwise the recent average; undefined before the second token. */
    get recentGapMs(): number | undefined {
        if (this.outputTokens < 2) {
            return undefined;
        }
        return this.latestGapMs > minGapSpikeMs ? Math.max(this.latestGapMs, this.averageGapMs) : this.averageGapMs;
    }

    get meanGapMs(): number | undefined {
        const firstTokenAtMs = this.grantedAtMs + this.firstTokenMs;
        return this.outputTokens < 2 ? undefined : (this.lastTokenAtMs - firstTokenAtMs) / (this.outputTokens - 1);
    }

    /** Records `count` tokens received at `nowMs`. Returns whether progress should be reported. */
    recordTokens(count: number, nowMs: number): boolean {
        const isFirst = this.outputTokens === 0;
        const isFirstOrSpike = isFirst ? this.recordFirstToken(nowMs) : this.recordGap((nowMs - this.lastTokenAtMs) / count, nowMs);
        const previousOutputTokens = this.outputTokens;
        this.outputTokens += count;
        this.lastTokenAtMs = nowMs;
        const isAverageDue = previousOutputTokens < firstAverageReportTokens && this.outputTokens >= firstAverageReportTokens;
        const isDue = isFirst || isFirstOrSpike || isAverageDue || nowMs - this.lastReportAtMs >= keepAliveIntervalMs;
        if (isDue) {
            this.lastReportAtMs = nowMs;
        }
        return isDue;
    }

    private recordFirstToken(nowMs: number): boolean {
        this.firstTokenMs = nowMs - this.grantedAtMs;
        return true;
    }

    /** Updates the gap statistics. Returns whether the gap is a spike that is to be reported now. */
    private recordGap(gapMs: number, nowMs: number): boolean {
        const previousAverageMs = this.averageGapMs;
        this.latestGapMs = gapMs;
        this.maxGapMs = Math.max(this.maxGapMs, gapMs);
        this.averageGapMs = previousAverageMs === 0 ? gapMs : previousAverageMs + gapAverageWeight * (gapMs - previousAverageMs);
        return previousAverageMs > 0 && gapMs > minGapSpikeMs && gapMs > minGapSpikeRatio * previousAverageMs &&
            nowMs - this.lastReportAtMs >= minGapSpikeReportIntervalMs;
    }
}
