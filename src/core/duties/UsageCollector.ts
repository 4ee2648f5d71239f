import type { UsageRun } from "./UsageRun.js";

/** Runs and senders that were last heard of before this are dropped. */
const maxRunAgeMs = 30_000;
const maxSenderAgeMs = 60_000;
const evictionIntervalMs = 2_000;
/** Clocks of senders count for the median until this age: two idle reports and a lost one. */
const maxClockAgeMs = 12_000;
/** Number of reports of which the fastest one maps the clock of a sender: the others were held up by the network or a busy VM. */
const mappingReports = 8;
/** Change of a wall clock against the monotonic clock of its VM, or of a mapping, by which a suspension or a step is told from jitter. */
const clockDiscontinuityMs = 200;
/** Change of the fleet's median by which the collector is taken to have been suspended. Sound clocks differ by a few milliseconds. */
const medianDiscontinuityMs = 100;
/**
 * After a discontinuity of its own clock true time is in doubt until over half of the VMs have reported after it, and for this long at the least:
 * reports that waited for a suspended VM arrive at once, and are up to a second older than they seem.
 */
const settleMs = 1_500;

interface UsageReport {
    readonly vm: string;
    readonly incarnation: string;
    readonly firstSequence: number;
    readonly runs: readonly UsageRun[];
    /** Monotonic and wall-clock time of the sender when it sent the report. */
    readonly sentMs: number;
    readonly wallMs: number;
}

/** A period in which neither the sender nor this VM was suspended, so that one mapping between their monotonic clocks holds. */
interface ClockSegment {
    /** Receiving time of the last few reports less their sending time. */
    differencesMs: number[];
}

interface Sender {
    readonly incarnation: string;
    lastSequence: number;
    segment: ClockSegment;
    /** Wall clock of the sender less its monotonic clock. */
    wallOffsetMs: number;
    receivedMs: number;
    /** Monotonic time of the sender at its last report. */
    sentMs: number;
}

interface CollectedRun extends UsageRun {
    readonly segment: ClockSegment;
    readonly receivedMs: number;
}

/**
 * Collects the runs that VMs report, each once, and counts them by windows of true time. The monotonic time of a sender is mapped to that of
 * this VM by its fastest report, and this VM's monotonic time to true time by the median of the wall clocks of all senders.
 */
export class UsageCollector {
    private readonly senders = new Map<string, Sender>();
    private runs: CollectedRun[] = [];
    private trueOffsetMs: number | undefined;
    private collectingSinceMs: number | undefined;
    private ownWallOffsetMs: number | undefined;
    private discontinuityMs = -Infinity;
    private isSettled = true;

    constructor(private readonly windowMs: number) {}

    /** Applies a report and returns the sequence number of the last run that is known of its sender; undefined for an earlier incarnation. */
    receive(report: UsageReport, nowMs: number): number | undefined {
        const { vm, incarnation, firstSequence, runs, sentMs } = report;
        const known = this.senders.get(vm);
        if (known !== undefined && known.incarnation > incarnation) {
            return undefined;
        }
        const wallOffsetMs = report.wallMs - sentMs;
        const differenceMs = nowMs - sentMs;
        const sender = known?.incarnation === incarnation
            ? known
            : { incarnation, lastSequence: firstSequence - 1, segment: { differencesMs: [] }, wallOffsetMs, receivedMs: nowMs, sentMs };
        this.senders.set(vm, sender);
        // During a suspension the monotonic clock of a VM stands still, and its reports seem to arrive later by as much as its wall clock has
        // gone ahead; a step of the wall clock alone leaves the mapping as it is. Earlier runs keep the mapping from before a suspension.
        const aheadMs = wallOffsetMs - sender.wallOffsetMs;
        const delayMs = differenceMs - Math.min(...sender.segment.differencesMs);
        const isSenderSuspended = aheadMs > clockDiscontinuityMs && delayMs > aheadMs / 2;
        const isReceiverSuspended = delayMs < -clockDiscontinuityMs;
        if (sender.segment.differencesMs.length > 0 && (isSenderSuspended || isReceiverSuspended)) {
            sender.segment = { differencesMs: [] };
        }
        sender.segment.differencesMs = [...sender.segment.differencesMs.slice(1 - mappingReports), differenceMs];
        sender.wallOffsetMs = wallOffsetMs;
        sender.receivedMs = nowMs;
        sender.sentMs = Math.max(sender.sentMs, sentMs);
        for (const { customer, begunMs } of runs.slice(Math.max(0, sender.lastSequence + 1 - firstSequence))) {
            this.runs.push({ customer, begunMs, segment: sender.segment, receivedMs: nowMs });
        }
        sender.lastSequence = Math.max(sender.lastSequence, firstSequence + runs.length - 1);
        return sender.lastSequence;
    }

    /**
     * Updates true time and drops what is old. True time is known while the clocks of over half of the fleet's VMs are; the collector
     * counts as collecting since then, and anew after it was suspended.
     */
    update(nowMs: number, wallMs: number, vmCount: number): void {
        if ((this.runs[0]?.receivedMs ?? nowMs) < nowMs - maxRunAgeMs - evictionIntervalMs) {
            this.runs = this.runs.filter(run => run.receivedMs >= nowMs - maxRunAgeMs);
        }
        for (const [vm, { receivedMs }] of this.senders) {
            if (receivedMs < nowMs - maxSenderAgeMs) {
                this.senders.delete(vm);
            }
        }
        const ownWallOffsetMs = wallMs - nowMs;
        if (Math.abs(ownWallOffsetMs - (this.ownWallOffsetMs ?? ownWallOffsetMs)) > clockDiscontinuityMs) {
            this.discontinuityMs = nowMs;
        }
        this.ownWallOffsetMs = ownWallOffsetMs;
        const offsetsMs = this.listTrueOffsetsMs(Math.max(this.discontinuityMs, nowMs - maxClockAgeMs));
        const isKnown = 2 * offsetsMs.length > vmCount;
        this.isSettled = nowMs >= this.discontinuityMs + settleMs && (isKnown || nowMs >= this.discontinuityMs + maxClockAgeMs);
        if (!this.isSettled) {
            return;
        }
        const previousMs = this.trueOffsetMs;
        this.trueOffsetMs = isKnown ? computeMedian(offsetsMs) : undefined;
        if (this.trueOffsetMs === undefined) {
            this.collectingSinceMs = undefined;
        }
        else if (previousMs === undefined || Math.abs(this.trueOffsetMs - previousMs) > medianDiscontinuityMs) {
            this.collectingSinceMs = nowMs;
        }
    }

    /** True time of a monotonic time of this VM; undefined while it is unknown or in doubt. */
    toTrueMs(monotonicMs: number): number | undefined {
        return this.trueOffsetMs === undefined || !this.isSettled ? undefined : monotonicMs + this.trueOffsetMs;
    }

    /** Wall clock of this VM less true time; undefined while true time is unknown. */
    get ownClockErrorMs(): number | undefined {
        return this.trueOffsetMs === undefined || this.ownWallOffsetMs === undefined ? undefined : this.ownWallOffsetMs - this.trueOffsetMs;
    }

    /** Number of VMs whose clocks make up the median. */
    countClocks(nowMs: number): number {
        return this.listTrueOffsetsMs(nowMs - maxClockAgeMs).length;
    }

    /** Whether this VM has been collecting since before the window began. */
    hasCollected(windowIndex: number): boolean {
        return this.collectingSinceMs !== undefined && this.trueOffsetMs !== undefined &&
            this.collectingSinceMs + this.trueOffsetMs <= windowIndex * this.windowMs;
    }

    /** Whether every VM that was heard lately has reported since the end of the window; one that is cut off has not sent all its runs. */
    hasAllReports(windowIndex: number, nowMs: number): boolean {
        const endMs = (windowIndex + 1) * this.windowMs - (this.trueOffsetMs ?? 0);
        return [...this.senders.values()].every(({ sentMs, segment, receivedMs }) =>
            receivedMs < nowMs - maxClockAgeMs || sentMs + Math.min(...segment.differencesMs) >= endMs
        );
    }

    /** Calls that began to run in a window, by customer, in the order of their names. */
    countRuns(windowIndex: number): Record<string, number> {
        const startMs = windowIndex * this.windowMs - (this.trueOffsetMs ?? 0);
        const fastestMs = new Map<ClockSegment, number>();
        const counts = new Map<string, number>();
        for (const { customer, begunMs, segment } of this.runs) {
            const differenceMs = fastestMs.get(segment) ?? Math.min(...segment.differencesMs);
            fastestMs.set(segment, differenceMs);
            const offsetMs = begunMs + differenceMs - startMs;
            if (offsetMs >= 0 && offsetMs < this.windowMs) {
                counts.set(customer, (counts.get(customer) ?? 0) + 1);
            }
        }
        return Object.fromEntries([...counts].sort(([left], [right]) => left < right ? -1 : 1));
    }

    private listTrueOffsetsMs(sinceMs: number): number[] {
        return [...this.senders.values()]
            .filter(({ receivedMs }) => receivedMs >= sinceMs)
            .map(({ wallOffsetMs, segment }) => wallOffsetMs - Math.min(...segment.differencesMs));
    }
}

function computeMedian(values: readonly number[]): number {
    const sorted = values.toSorted((left, right) => left - right);
    const middle = sorted.length >> 1;
    const upper = sorted[middle] ?? 0;
    return sorted.length % 2 === 1 ? upper : (upper + (sorted[middle - 1] ?? upper)) / 2;
}
