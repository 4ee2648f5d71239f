import type { Clock } from "../util/Clock.js";

interface FleetSizeEstimateOptions {
    readonly clock: Clock;
    /** Number of VMs that this one knows, itself included. */
    readonly countMembers: () => number;
    /** Whether this VM was told of others to join. */
    readonly hasPeers: boolean;
    /** Time after the start in which a VM may not have met the others. */
    readonly settleMs: number;
}

/** A VM that has lost sight of others counts them for this long to twice as long, as they may be cut off from it and go on. */
const memoryMs = 300_000;
/** Size that a VM assumes that knows none of the others. */
const unknownFleetSize = 100;

/** Estimates how many VMs share a limit, so that VMs which do not see each other do not use more than the whole together. */
export class FleetSizeEstimate {
    private readonly startMs: number;
    private periodStartMs: number;
    private largest = 0;
    private largestBefore = 0;

    constructor(private readonly options: FleetSizeEstimateOptions) {
        this.startMs = options.clock.nowMs();
        this.periodStartMs = this.startMs;
    }

    /** Number of VMs that share a limit; undefined while this VM may not have met the others. */
    get vms(): number | undefined {
        const { clock, countMembers, hasPeers, settleMs } = this.options;
        const nowMs = clock.nowMs();
        if (nowMs - this.periodStartMs >= memoryMs) {
            this.largestBefore = this.largest;
            this.largest = 0;
            this.periodStartMs = nowMs;
        }
        this.largest = Math.max(this.largest, countMembers());
        if (nowMs - this.startMs < settleMs) {
            return undefined;
        }
        const largest = Math.max(1, this.largest, this.largestBefore);
        return largest === 1 && hasPeers ? unknownFleetSize : largest;
    }
}
