import type { RunnerUp } from "./RunnerUp.js";

/** A decision of the dispatcher, to be executed by the entry VM `entryVm`. Times are durations in ms. */
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
        /** Time from the offer to the grant, plus the time waited before the offer. */
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
        /** Predicted wait of a new ticket of the same tier, as the time to retry after. */
        readonly retryAfterMs: number | undefined;
    }
    | {
        /** Cancel the stream and offer a new attempt; tokens that the caller has already received stay valid. */
        readonly type: "preempt";
        readonly entryVm: string;
        readonly requestId: string;
        readonly grantId: string;
        readonly tier: number;
        readonly upstreamId: string;
        readonly reason: "higher-tier" | "slow-upstream";
        /** Tier of the ticket that needs the slot; the stream's own tier for a migration. */
        readonly forTier: number;
    }
    | {
        /** Open a second stream for a running grant. The stream with the first token wins; the other is ended as cancelled. */
        readonly type: "hedge";
        readonly entryVm: string;
        readonly requestId: string;
        readonly attempt: number;
        readonly grantId: string;
        readonly hedgedGrantId: string;
        readonly upstreamId: string;
        readonly priority: number;
    };
