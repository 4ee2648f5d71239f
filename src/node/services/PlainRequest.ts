import type { Readable } from "node:stream";

/** One call to a plain service. The client fails a response whose body exceeds `maxAnswerBytes`. */
export interface PlainRequest {
    readonly requestId: string;
    readonly method: string;
    /** URL path and query on the upstream. */
    readonly target: string;
    /** Lower-case names; the client removes hop-by-hop headers. */
    readonly headers: Readonly<Record<string, string | string[]>>;
    /** Bytes can be sent again; a stream can be sent only once. */
    readonly body: Uint8Array | Readable | undefined;
    /** Longest wait for the response head, and after it for each next chunk of the response body. */
    readonly responseIdleTimeoutMs: number;
    readonly maxResponseBytes: number;
}
