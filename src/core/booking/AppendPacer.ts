const activeWindowMs = 2_000;
const rateWindowMs = 1_000;
/** Share of the budget that is aimed at; the rest absorbs writers that have not seen each other yet. */
const targetShare = 0.9;

/**
 * Spaces this VM's appends so that the whole fleet stays under a budget. What the others write is seen in the stream itself, so
 * that the budget is shared by the VMs that write now: a VM that is alone appends at once.
 */
export class AppendPacer {
    private readonly seenMs = new Map<string, number>();
    /** Times of the appends read from the stream within the last rate window, oldest first. */
    private readonly appendTimesMs: number[] = [];

    constructor(private readonly vm: string, private readonly fleetAppendsPerSecond: number) {}

    /** Takes one append that was read from the stream. */
    observe(writer: string, nowMs: number): void {
        this.seenMs.delete(writer);
        this.seenMs.set(writer, nowMs);
        this.appendTimesMs.push(nowMs);
        this.forget(nowMs);
    }

    /** Shortest time from one append of this VM to its next. */
    intervalMs(nowMs: number): number {
        this.forget(nowMs);
        const others = this.seenMs.size - (this.seenMs.has(this.vm) ? 1 : 0);
        const targetPerSecond = this.fleetAppendsPerSecond * targetShare;
        const fairShareMs = (others + 1) * 1_000 / targetPerSecond;
        const overload = this.appendTimesMs.length * 1_000 / rateWindowMs / targetPerSecond;
        return fairShareMs * Math.max(1, overload);
    }

    private forget(nowMs: number): void {
        for (const [writer, seenMs] of this.seenMs) {
            if (nowMs - seenMs < activeWindowMs) {
                break;
            }
            this.seenMs.delete(writer);
        }
        while (this.appendTimesMs[0] !== undefined && nowMs - this.appendTimesMs[0] >= rateWindowMs) {
            this.appendTimesMs.shift();
        }
    }
}
