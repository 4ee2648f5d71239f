import type { RunnerUp } from "./RunnerUp.js";

/** A decision of a dispatcher that the entry VM named in it has to carry out. Times are durations in ms. */
export type DispatchAction =
    | {
        readonly type: "grant";
        readonly entryVm: string;
        readonly requestId: string;
        readonly attempt: number;
        readonly grantId: string;
        readonly upstreamId: string;
        readonly tier: number;
        /** Priority on the engine; 0 is most urgent. */
        readonly priority: number;
        /** Time from the offer to this grant, with what had been waited before. */
        readonly waitedMs: number;
        readonly predictedFirstTokenMs: number;
        readonly predictedFinishMs: number;
        readonly runnersUp: readonly RunnerUp[];
    }
    | {
        readonly type: "refuse";
        readonly entryVm: string;
        readonly requestId: string;
        readonly attempt: number;
        readonly tier: number;
        readonly kind: "shed" | "queue-timeout" | "target-unreachable" | "no-upstream";
        /** Time until the queue ahead is expected to have drained. */
        readonly retryAfterMs: number | undefined;
    }
    | {
        /** Cancel the stream and offer a new attempt; tokens already received stay with the caller. */
        readonly type: "preempt";
        readonly entryVm: string;
        readonly requestId: string;
        readonly grantId: string;
        readonly tier: number;
        readonly upstreamId: string;
        readonly reason: "higher-tier" | "slow-upstream";
        /** Tier of the ticket that the slot is for. */
        readonly forTier: number;
    }
    | {
        /** Open a second stream of a running grant; the first of the two to give a token wins and the other is ended as cancelled. */
        readonly type: "hedge";
        readonly entryVm: string;
        readonly requestId: string;
        readonly attempt: number;
        readonly grantId: string;
        readonly hedgedGrantId: string;
        readonly upstreamId: string;
        readonly priority: number;
    };
