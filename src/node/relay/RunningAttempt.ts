import type { Placement } from "../../core/relay/Placement.js";
import type { UpstreamLoadTracker } from "../../core/relay/UpstreamLoadTracker.js";
import type { Scheduler } from "../../core/util/Scheduler.js";
import type { RelayRoute } from "../../schema/relay/RelayRoute.js";
import type { AttemptResult } from "./AttemptResult.js";
import type { RelayAttempt } from "./RelayAttempt.js";

/** So many bytes of one event count as progress before its end. */
const minProgressBytes = 1_024;

/** An attempt in progress on the upstream that it was placed on, counted in the upstream's load until it ends. */
export class RunningAttempt {
    /** When its upstream last sent something that counts as progress; before that, when it was started. */
    lastReceivedMs: number;
    private bytesSinceProgress = 0;
    /** When the head of its upstream's response arrived; undefined before. */
    headMs: number | undefined;
    /** When the first event arrived, which shows that the prefill is complete; undefined before. */
    firstEventMs: number | undefined;
    /** Time between the last two events; undefined before the second. */
    lastGapMs: number | undefined;
    /** Whether the upstream has sent more than its first event, or all of its response. */
    hasAnswered = false;
    /** Resolves when it is known whether the attempt broke because its upstream crashed, as far as a retry has to wait for that. */
    crashCheck: Promise<void> = Promise.resolve();
    readonly sentMs: number;
    /** Resolves when the attempt has ended; never rejects. */
    readonly result: Promise<AttemptResult>;
    private readonly endController = new AbortController();

    constructor(
        readonly attempt: RelayAttempt,
        readonly placement: Placement,
        private readonly dependencies: { readonly scheduler: Scheduler; readonly loadTracker: UpstreamLoadTracker; },
    ) {
        this.sentMs = dependencies.scheduler.nowMs();
        this.lastReceivedMs = this.sentMs;
        this.result = this.run();
    }

    /** Aborts when the attempt has ended. */
    get endSignal(): AbortSignal {
        return this.endController.signal;
    }

    /** Whether its upstream has begun to answer: with the first event of a stream, or the head of another response. */
    hasBegun(kind: RelayRoute["kind"]): boolean {
        return this.firstEventMs !== undefined || kind !== "stream" && this.attempt.hasResponseHead;
    }

    /** Records bytes of a response. A few bytes of an event that does not end are no progress: a stalled upstream may send one now and then. */
    recordBytes(byteCount: number, isComplete: boolean, nowMs: number): void {
        this.bytesSinceProgress += byteCount;
        if (isComplete || this.bytesSinceProgress >= minProgressBytes) {
            this.bytesSinceProgress = 0;
            this.lastReceivedMs = nowMs;
        }
    }

    recordFirstEvent(nowMs: number): void {
        this.firstEventMs = nowMs;
        this.dependencies.loadTracker.recordFirstEvent(this.placement.upstream.id, this.placement);
    }

    private async run(): Promise<AttemptResult> {
        const { loadTracker } = this.dependencies;
        const { id } = this.placement.upstream;
        loadTracker.recordCallStart(id, this.placement);
        const result = await this.attempt.run();
        this.endController.abort();
        loadTracker.recordCallEnd(id, this.placement, this.firstEventMs !== undefined);
        return result;
    }
}
