interface Pace {
    /** Time between events of late, and usually. */
    gapMs: number;
    usualMs: number;
    atMs: number;
}

/** What each event adds to the recent average, and each millisecond without one on top. */
const freshShare = 0.35;
const freshPerMs = 1 / 200;
/** What each event adds to the usual average: it follows changes over some hundred events. */
const usualShare = 0.005;
/** What was seen longer ago tells nothing; engines turn slow and fast again within half a second. */
const staleMs = 300;

/** How fast upstreams send events now, against what is usual for them, as this VM's streams show it. */
export class EventGapTracker {
    private readonly paces = new Map<string, Pace>();

    /** A stream's event came `gapMs` after the one before it. */
    recordGap(id: string, gapMs: number, nowMs: number): void {
        const pace = this.paces.get(id);
        if (pace === undefined) {
            this.paces.set(id, { gapMs, usualMs: gapMs, atMs: nowMs });
            return;
        }
        pace.gapMs += (gapMs - pace.gapMs) * Math.min(1, freshShare + (nowMs - pace.atMs) * freshPerMs);
        pace.usualMs += (gapMs - pace.usualMs) * usualShare;
        pace.atMs = nowMs;
    }

    /** By what factor events come later than usual; 1 where that is not known. */
    slowdownFactor(id: string, nowMs: number): number {
        const pace = this.paces.get(id);
        return pace === undefined || nowMs - pace.atMs > staleMs ? 1 : pace.gapMs / Math.max(1, pace.usualMs);
    }

    removeUpstream(id: string): void {
        this.paces.delete(id);
    }
}
