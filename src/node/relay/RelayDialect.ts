import type { Result } from "neverthrow";
import type { IncomingHttpHeaders, IncomingMessage } from "node:http";
import type { RelayCall } from "../../schema/relay/RelayCall.js";

/** What one send to an upstream tells it beside what the caller sent. */
interface SendFacts {
    readonly upstreamId: string;
    /** How long the upstream may work. */
    readonly patienceMs: number;
    readonly customer: string | undefined;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** The stream goes on after the event with this id. */
    readonly lastEventId: string | undefined;
}

/**
 * `answer`: the upstream's own answer to this call; `not-run`: it states that it did nothing; `wrong-upstream`: likewise, as another
 * one has the address; `foreign`: belongs to another call, or to none.
 */
type AnswerMeaning = "answer" | "not-run" | "wrong-upstream" | "foreign";

/** The header fields by which callers and upstreams of one platform speak. */
export interface RelayDialect {
    /** Decodes the head of a call; the error tells what is wrong with it. */
    decodeCall(incoming: IncomingMessage): Result<RelayCall, string>;
    /** Headers of a call as they are sent to an upstream. */
    buildUpstreamHeaders(call: RelayCall, received: IncomingHttpHeaders, facts: SendFacts): Record<string, string | string[]>;
    /** Headers that tell a caller when to come back. */
    buildRetryAfterHeaders(delayMs: number): Record<string, string>;
    classifyResponse(status: number, headers: IncomingHttpHeaders, call: RelayCall): AnswerMeaning;
}
