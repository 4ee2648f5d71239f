import type { Result } from "neverthrow";
import type { IncomingHttpHeaders, IncomingMessage } from "node:http";
import type { RelayCall } from "../../schema/relay/RelayCall.js";

/** Values that the headers of one attempt contain in addition to the caller's headers. */
interface AttemptContext {
    readonly upstreamId: string;
    /** How long the upstream may work on the call. */
    readonly patienceMs: number;
    readonly customer: string | undefined;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** The upstream resumes the stream after the event with this id. */
    readonly lastEventId: string | undefined;
}

/**
 * `answer`: the upstream's response to this call; `not-run`: the upstream states that it did no work; `wrong-upstream`: no work was done, as
 * the address now belongs to another upstream; `foreign`: a response to another call, or to none.
 */
type ResponseKind = "answer" | "not-run" | "wrong-upstream" | "foreign";

/** Encodes and decodes the header fields that callers and upstreams of one platform use. */
export interface RelayDialect {
    /** Decodes the head of a call; the error says what is wrong with it. */
    decodeCall(incoming: IncomingMessage): Result<RelayCall, string>;
    /** Builds the request headers of one attempt. */
    buildUpstreamHeaders(call: RelayCall, received: IncomingHttpHeaders, context: AttemptContext): Record<string, string | string[]>;
    /** Whether the upstream that sent a response with these headers says that it is leaving. */
    isLeaving(headers: IncomingHttpHeaders): boolean;
    /** Builds the response headers that contain the retry delay. */
    buildRetryAfterHeaders(delayMs: number): Record<string, string>;
    /**
     * Determines from the head of a response whether it answers `call` and whether the upstream did any work. A response that is not the
     * first one on its connection may be a repetition of an earlier one.
     */
    classifyResponse(status: number, headers: IncomingHttpHeaders, call: RelayCall, isFirstOnConnection: boolean): ResponseKind;
}
