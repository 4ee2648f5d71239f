interface GapAverages {
    /** Moving averages of the time between events: over the last few events, and over a few hundred. */
    recentGapMs: number;
    baselineGapMs: number;
    updatedAtMs: number;
}

/** Weight of a gap in the recent average, and the weight added for each millisecond since the previous update. */
const recentGapWeight = 0.35;
const recentGapWeightPerMs = 1 / 200;
/** Weight of a gap in the baseline average, which follows changes over a few hundred events. */
const baselineGapWeight = 0.005;
/** Older averages are ignored, because slowdowns of engines begin and end within half a second. */
const maxAgeMs = 300;

/** Compares the recent time between events of each upstream with its baseline, as observed on this VM's streams. */
export class EventGapTracker {
    private readonly averagesById = new Map<string, GapAverages>();

    /** Records an event that followed the previous one of its stream after `gapMs`. */
    recordGap(id: string, gapMs: number, nowMs: number): void {
        const averages = this.averagesById.get(id);
        if (averages === undefined) {
            this.averagesById.set(id, { recentGapMs: gapMs, baselineGapMs: gapMs, updatedAtMs: nowMs });
            return;
        }
        averages.recentGapMs += (gapMs - averages.recentGapMs) *
            Math.min(1, recentGapWeight + (nowMs - averages.updatedAtMs) * recentGapWeightPerMs);
        averages.baselineGapMs += (gapMs - averages.baselineGapMs) * baselineGapWeight;
        averages.updatedAtMs = nowMs;
    }

    /** Ratio of the recent gap to the baseline gap; 1 when there are no recent events. */
    slowdownFactor(id: string, nowMs: number): number {
        const averages = this.averagesById.get(id);
        return averages === undefined || nowMs - averages.updatedAtMs > maxAgeMs
            ? 1
            : averages.recentGapMs / Math.max(1, averages.baselineGapMs);
    }

    removeUpstream(id: string): void {
        this.averagesById.delete(id);
    }
}
