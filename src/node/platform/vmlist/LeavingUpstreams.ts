/** Upstreams that the platform says are leaving. */
export interface LeavingUpstreams {
    isLeaving(upstreamId: string): boolean;
    /** Calls `listener` with all ids that are leaving whenever the set changes. */
    onChange(listener: (leaving: ReadonlySet<string>) => void, signal: AbortSignal): void;
}
