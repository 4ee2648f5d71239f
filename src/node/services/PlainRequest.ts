import type { Readable } from "node:stream";

/** One call to a plain service. */
export interface PlainRequest {
    readonly requestId: string;
    readonly method: string;
    /** Path and query on the upstream. */
    readonly target: string;
    /** Lower-case names; those that concern one connection only are left out by the client. */
    readonly headers: Readonly<Record<string, string | string[]>>;
    /** Bytes can be sent again, a stream only once. */
    readonly body: Uint8Array | Readable | undefined;
    /** Longest wait for the head of the answer, and then between parts of its body. */
    readonly responseIdleTimeoutMs: number;
    readonly maxAnswerBytes: number;
}
