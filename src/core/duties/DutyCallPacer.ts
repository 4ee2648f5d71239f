const windowMs = 1_000;
const initialBackoffMs = 250;
const maxBackoffMs = 2_000;
/** Least share of a backoff that is waited; the rest is jitter. */
const minBackoffShare = 0.5;

interface DutyCallPacerOptions {
    /** Calls that may be sent within any second. */
    readonly maxPerSecond: number;
    /** Returns a number from 0 to 1. */
    readonly random: () => number;
}

/** Decides when a VM may send the next call to the platform's API: within a rate, and with exponential backoff after failures. */
export class DutyCallPacer {
    private readonly sentMs: number[] = [];
    private failures = 0;
    private lastFailureMs = -Infinity;
    private backoffUntilMs = -Infinity;

    constructor(private readonly options: DutyCallPacerOptions) {}

    /** Time until the next call may be sent; 0 if it may be sent now. */
    getDelayMs(nowMs: number): number {
        const earliest = this.sentMs.length < this.options.maxPerSecond ? -Infinity : (this.sentMs[0] ?? -Infinity) + windowMs;
        return Math.max(0, this.backoffUntilMs - nowMs, earliest - nowMs);
    }

    recordSent(nowMs: number): void {
        this.sentMs.push(nowMs);
        if (this.sentMs.length > this.options.maxPerSecond) {
            this.sentMs.shift();
        }
    }

    /** Calls that were under way together count as one failure, so that the backoff does not depend on how many there were. */
    recordResult(hasFailed: boolean, sentMs: number, nowMs: number): void {
        if (!hasFailed) {
            this.failures = 0;
            this.backoffUntilMs = -Infinity;
            return;
        }
        if (sentMs < this.lastFailureMs) {
            return;
        }
        const backoffMs = Math.min(maxBackoffMs, initialBackoffMs * 2 ** this.failures);
        this.failures++;
        this.lastFailureMs = nowMs;
        this.backoffUntilMs = nowMs + backoffMs * (minBackoffShare + (1 - minBackoffShare) * this.options.random());
    }
}
