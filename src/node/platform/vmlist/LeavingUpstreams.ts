/** Upstreams that the platform's list marks as leaving. */
export interface LeavingUpstreams {
    isLeaving(upstreamId: string): boolean;
    /** Calls `listener` with the ids of all leaving upstreams whenever the set changes, until `signal` aborts. */
    onChange(listener: (leaving: ReadonlySet<string>) => void, signal: AbortSignal): void;
}
