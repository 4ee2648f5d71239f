/** Weight of a new gap in the recent average. */
const gapShare = 0.2;
/** A gap longer than this many recent averages, and than `alarmGapMs`, is told at once. */
const alarmRatio = 2.5;
const alarmGapMs = 50;
const alarmPeriodMs = 150;
/** A stream is told of at least this often, so that its grant is not taken as lost. */
const keepAliveMs = 5_000;
/** Tokens after which a first average of gaps is told. */
const firstAverageTokens = 8;

/** Decides when an entry VM tells the dispatcher how a stream is doing: at its first token, seldom while all is well, at once when not. */
export class ProgressReporter {
    outputTokens = 0;
    /** Time from the grant to the first token. */
    firstTokenMs = 0;
    maxGapMs = 0;
    private lastTokenMs = 0;
    private lastReportMs = 0;
    private averageGapMs = 0;
    private latestGapMs = 0;

    constructor(private readonly grantedMs: number) {}

    /** Gap to report: the latest when it stands out, else the recent average; undefined before the second token. */
    get recentGapMs(): number | undefined {
        if (this.outputTokens < 2) {
            return undefined;
        }
        return this.latestGapMs > alarmGapMs ? Math.max(this.latestGapMs, this.averageGapMs) : this.averageGapMs;
    }

    get meanGapMs(): number | undefined {
        const firstMs = this.grantedMs + this.firstTokenMs;
        return this.outputTokens < 2 ? undefined : (this.lastTokenMs - firstMs) / (this.outputTokens - 1);
    }

    /** Notes `count` tokens that came now; true when progress should be sent. */
    onTokens(count: number, nowMs: number): boolean {
        const isFirst = this.outputTokens === 0;
        const isAlarm = isFirst ? this.noteFirst(nowMs) : this.noteGap((nowMs - this.lastTokenMs) / count, nowMs);
        const before = this.outputTokens;
        this.outputTokens += count;
        this.lastTokenMs = nowMs;
        const isAverageDue = before < firstAverageTokens && this.outputTokens >= firstAverageTokens;
        const isDue = isFirst || isAlarm || isAverageDue || nowMs - this.lastReportMs >= keepAliveMs;
        if (isDue) {
            this.lastReportMs = nowMs;
        }
        return isDue;
    }

    private noteFirst(nowMs: number): boolean {
        this.firstTokenMs = nowMs - this.grantedMs;
        return true;
    }

    private noteGap(gapMs: number, nowMs: number): boolean {
        const usualMs = this.averageGapMs;
        this.latestGapMs = gapMs;
        this.maxGapMs = Math.max(this.maxGapMs, gapMs);
        this.averageGapMs = usualMs === 0 ? gapMs : usualMs + gapShare * (gapMs - usualMs);
        return usualMs > 0 && gapMs > alarmGapMs && gapMs > alarmRatio * usualMs && nowMs - this.lastReportMs >= alarmPeriodMs;
    }
}
