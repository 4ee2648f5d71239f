import type { Ticket } from "../../schema/peer/Ticket.js";

/** A grant that has not ended. Instants are on the dispatcher's clock. */
export interface ActiveGrant {
    readonly grantId: string;
    readonly ticket: Ticket;
    readonly upstreamId: string;
    readonly grantedAtMs: number;
    /** Priority on the engine; 0 is most urgent. */
    readonly priority: number;
    readonly isLong: boolean;
    /** Requests in flight on the engine when this one was granted, with it. */
    readonly batchSize: number;
    /** Prompt tokens that the engine has to read before the first token, with those ahead. */
    readonly prefillTokens: number;
    /** The same if nothing that was taken as cached is: what a slow engine is judged by. */
    readonly maxPrefillTokens: number;
    /** Prompt tokens of this request alone that are not in the cache, as predicted. */
    readonly uncachedTokens: number;
    readonly predictedFirstTokenMs: number;
    /** Gap target of its class. */
    readonly tokenGapTargetMs: number;
    predictedOutputTokens: number;
    outputTokens: number;
    /** Undefined until the first token was seen. */
    firstTokenMs: number | undefined;
    firstTokenAtMs: number;
    lastSeenAtMs: number;
    /** Age at which a missing first token is next held against the engine. */
    nextOverdueAgeMs: number;
    /** Counters of the engine at the first token, from which what happened since is told. */
    batchRequestMsAtFirstToken: number;
    totalPrefillTokensAtFirstToken: number;
    /** More work of its tier and above was there than the engine has slots, so that the engine may have paused it. */
    hasSeenOversubscription: boolean;
    /** The dispatcher has asked for the slot back. */
    isPreempted: boolean;
    /** The other grant of a hedged pair. */
    hedgeGrantId: string | undefined;
}
