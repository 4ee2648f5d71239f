/** Routing and retry rules of calls that match a host and a path prefix. */
export interface RelayRoute {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    /** `stream`: responds with a stream of events; `repeatable`: idempotent, may run more than once; `once`: may run at most once per call. */
    readonly kind: "stream" | "repeatable" | "once";
    /** Maximum time that a caller is kept waiting. */
    readonly timeoutMs: number;
    /** Latency target for the complete response, or for the first event of a stream. */
    readonly targetMs: number;
    /** Target for the longest gap between two events of a stream; undefined if there is none. */
    readonly gapTargetMs: number | undefined;
    /** 0 is the highest priority. */
    readonly tier: number;
    /** Services that receive the calls of this route, with their relative weights. */
    readonly shares: readonly { readonly service: string; readonly weight: number; }[];
    /** Maximum number of upstreams that one call may be sent to. */
    readonly maxAttempts: number;
    /** Whether calls need no key. */
    readonly isPublic: boolean;
    /** Whether an interrupted stream may be resumed on another upstream. */
    readonly isResumable: boolean;
}
