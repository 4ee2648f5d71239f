/** A VM counts as an active writer for this long after an append. */
const activeWriterWindowMs = 2_000;
/** Window in which the append rate of the fleet is measured. */
const rateWindowMs = 1_000;
/** Target share of the budget; the remainder absorbs appends of writers that have not yet observed each other. */
const targetBudgetShare = 0.9;

/**
 * Paces the appends of this VM so that the whole fleet stays within a rate budget. Each VM observes the appends of all others in the
 * stream itself, so that the active writers share the target rate and a single writer can use all of it.
 */
export class AppendPacer {
    /** Time of each writer's last append, least recent first. */
    private readonly lastAppendAtMs = new Map<string, number>();
    /** Times of all appends read from the stream within the rate window, oldest first. */
    private readonly appendTimesMs: number[] = [];

    constructor(private readonly vm: string, private readonly fleetAppendsPerSecond: number) {}

    /** Records an append that was read from the stream. */
    observe(writer: string, nowMs: number): void {
        this.lastAppendAtMs.delete(writer);
        this.lastAppendAtMs.set(writer, nowMs);
        this.appendTimesMs.push(nowMs);
        this.removeExpired(nowMs);
    }

    /** Minimum time between two appends of this VM. */
    computeIntervalMs(nowMs: number): number {
        this.removeExpired(nowMs);
        const otherWriters = this.lastAppendAtMs.size - (this.lastAppendAtMs.has(this.vm) ? 1 : 0);
        const targetAppendsPerSecond = this.fleetAppendsPerSecond * targetBudgetShare;
        const fairIntervalMs = (otherWriters + 1) * 1_000 / targetAppendsPerSecond;
        const overloadFactor = this.appendTimesMs.length * 1_000 / rateWindowMs / targetAppendsPerSecond;
        return fairIntervalMs * Math.max(1, overloadFactor);
    }

    private removeExpired(nowMs: number): void {
        for (const [writer, appendedAtMs] of this.lastAppendAtMs) {
            if (nowMs - appendedAtMs < activeWriterWindowMs) {
                break;
            }
            this.lastAppendAtMs.delete(writer);
        }
        while (this.appendTimesMs[0] !== undefined && nowMs - this.appendTimesMs[0] >= rateWindowMs) {
            this.appendTimesMs.shift();
        }
    }
}
