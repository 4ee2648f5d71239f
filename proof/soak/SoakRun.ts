/** One execution of a call, as recorded by the upstream. */
export interface SoakRun {
    readonly id: string;
    readonly upstream: string;
    readonly atMs: number;
    /** When the upstream began to drain; undefined while it is ready. */
    readonly drainingSinceMs: number | undefined;
}
