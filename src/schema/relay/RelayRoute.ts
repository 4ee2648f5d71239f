/** Where calls that match a host and a path prefix go, and what may be done with them. */
export interface RelayRoute {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    /** `stream`: a series of events; `repeatable`: may run more than once; `once`: may run at most once for each call. */
    readonly kind: "stream" | "repeatable" | "once";
    /** Longest time that a caller is kept waiting. */
    readonly timeoutMs: number;
    /** Target for the whole answer; for a stream, for its first event. */
    readonly targetMs: number;
    /** Target for the longest pause between two events of a stream; undefined when there is none. */
    readonly gapTargetMs: number | undefined;
    /** 0 is the most urgent. */
    readonly tier: number;
    /** Services that take calls of this route, with their weights. */
    readonly shares: readonly { readonly service: string; readonly weight: number; }[];
    /** Most upstreams to which one call may be sent. */
    readonly maxAttempts: number;
    /** Calls need no key. */
    readonly isPublic: boolean;
    /** A stream that broke off may be continued by another upstream. */
    readonly isResumable: boolean;
}
