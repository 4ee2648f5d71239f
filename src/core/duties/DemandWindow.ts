interface DemandSample {
    readonly atMs: number;
    /** Number of upstreams that the demand would fill. */
    readonly upstreams: number;
}

/** Longest time between samples of a gapless window: a few intervals of a second. */
const maxGapMs = 4_000;

/** Demand of the last `windowMs`, in upstreams that it would fill. */
export class DemandWindow {
    private readonly samples: DemandSample[] = [];
    /** Time since which there has been traffic and every sample has included the calls of all VMs. */
    private completeSinceMs: number | undefined;
    private lastCompleteMs = -Infinity;

    constructor(private readonly windowMs: number) {}

    /** Adds a sample; an incomplete one shows only a lower bound of the demand. */
    record(upstreams: number, isComplete: boolean, nowMs: number): void {
        // An incomplete reading says only that the demand is not lower.
        const lowerBound = isComplete ? upstreams : Math.max(upstreams, this.samples.at(-1)?.upstreams ?? 0);
        this.samples.push({ atMs: nowMs, upstreams: lowerBound });
        while ((this.samples[0]?.atMs ?? nowMs) < nowMs - this.windowMs) {
            this.samples.shift();
        }
        if (!isComplete) {
            this.completeSinceMs = undefined;
            return;
        }
        if (nowMs - this.lastCompleteMs > maxGapMs) {
            this.completeSinceMs = undefined;
        }
        this.lastCompleteMs = nowMs;
        // The time before the first traffic says nothing about the demand.
        if (this.completeSinceMs === undefined && upstreams > 0) {
            this.completeSinceMs = nowMs;
        }
    }

    /** Highest demand that lasted for two samples, so that a single reading orders nothing. */
    get peak(): number {
        let peak = 0;
        for (let index = 1; index < this.samples.length; index++) {
            peak = Math.max(peak, Math.min(this.samples[index - 1]?.upstreams ?? 0, this.samples[index]?.upstreams ?? 0));
        }
        return peak;
    }

    /** Mean demand since the first traffic in the window. */
    get mean(): number {
        const first = this.samples.findIndex(({ upstreams }) => upstreams > 0);
        const samples = first < 0 ? [] : this.samples.slice(first);
        return samples.reduce((sum, { upstreams }) => sum + upstreams, 0) / Math.max(1, samples.length);
    }

    get hasTraffic(): boolean {
        return this.samples.some(({ upstreams }) => upstreams > 0);
    }

    /** Whether the demand of all VMs was known a moment ago. */
    isCurrent(nowMs: number): boolean {
        return nowMs - this.lastCompleteMs <= maxGapMs;
    }

    /** Whether the demand of all VMs is known for the whole window. */
    isWhole(nowMs: number): boolean {
        return this.isCurrent(nowMs) && this.completeSinceMs !== undefined && nowMs - this.completeSinceMs >= this.windowMs;
    }
}
