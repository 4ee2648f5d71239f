import type { Ticket } from "../../schema/peer/Ticket.js";

/** A grant that has not ended. Timestamps (`…AtMs`) are on the dispatcher's clock. */
export interface ActiveGrant {
    readonly grantId: string;
    readonly ticket: Ticket;
    readonly upstreamId: string;
    readonly grantedAtMs: number;
    /** Priority on the engine; 0 is most urgent. */
    readonly priority: number;
    readonly isLong: boolean;
    /** Batch size of the engine just before this grant. */
    readonly batchSize: number;
    /** Uncached prompt tokens to prefill before the first token, including those of requests ahead. */
    readonly prefillTokens: number;
    /** Upper bound of `prefillTokens` if no prompt token is cached; used for outlier detection. */
    readonly maxPrefillTokens: number;
    /** Predicted number of this request's own prompt tokens that are not in the prefix cache. */
    readonly uncachedTokens: number;
    readonly predictedFirstTokenMs: number;
    /** Token gap target of the service class. */
    readonly tokenGapTargetMs: number;
    predictedOutputTokens: number;
    outputTokens: number;
    /** Time from the grant to the first token; undefined before it. */
    firstTokenMs: number | undefined;
    firstTokenAtMs: number;
    lastSeenAtMs: number;
    /** Age of the grant at which a missing first token is next checked. */
    nextOverdueAgeMs: number;
    /**
     * Engine counters at the first token, to compute the mean batch size and the prefill load since. Until the first token,
     * `totalPrefillTokensAtFirstToken` is the value at the grant.
     */
    batchRequestMsAtFirstToken: number;
    totalPrefillTokensAtFirstToken: number;
    /** Requests of its tier and above have exceeded the engine's slots, so the engine may have paused this one. */
    hasSeenOversubscription: boolean;
    /** The dispatcher has asked the entry VM to cancel the stream. */
    isPreempted: boolean;
    /** Id of the other grant of a hedged pair. */
    hedgeGrantId: string | undefined;
}
