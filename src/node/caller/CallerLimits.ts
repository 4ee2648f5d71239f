/** Limits on the size of requests and responses, on waiting times and on attempts. */
export interface CallerLimits {
    readonly maxHeaderBytes: number;
    /** Largest body of a completion request or a keyed call. Both are buffered in memory. */
    readonly maxBufferedBodyBytes: number;
    /** Largest request body that is streamed to a plain service, and largest response body. */
    readonly maxStreamedBodyBytes: number;
    /** Time within which the headers of a request must arrive. */
    readonly headersTimeoutMs: number;
    /** Time within which a complete request must arrive. */
    readonly requestTimeoutMs: number;
    /** Longest wait for a plain upstream's response headers, and then between chunks of its body. */
    readonly plainIdleTimeoutMs: number;
    /** A caller that does not drain the buffer of its streamed response within this time is disconnected. */
    readonly callerStallTimeoutMs: number;
    /** Most attempts per request, the first included. */
    readonly maxAttempts: number;
    /** Request bodies up to this size are buffered, so that a call to a plain service can be retried. */
    readonly maxRetryableBodyBytes: number;
}
