/** Bounds on what callers may send, and on how long the server waits. */
export interface CallerLimits {
    readonly maxHeaderBytes: number;
    /** Largest completion request, and largest body of a keyed call, which is held in memory. */
    readonly maxBufferedBodyBytes: number;
    /** Largest body that is streamed to a plain service, and largest answer. */
    readonly maxStreamedBodyBytes: number;
    /** Longest time for the headers of a request to arrive. */
    readonly headersTimeoutMs: number;
    /** Longest time for the whole request to arrive. */
    readonly requestTimeoutMs: number;
    /** Longest wait for a plain upstream to send the next part of its answer. */
    readonly plainIdleTimeoutMs: number;
    /** A caller that takes none of its answer for this long is treated as gone. */
    readonly callerStallTimeoutMs: number;
    /** Upstreams tried for one request. */
    readonly maxAttempts: number;
    /** Bodies up to this size are held so that a call can be repeated. */
    readonly maxRetryableBodyBytes: number;
}
