/** One run of a call at an upstream, as the upstream saw it. */
export interface SoakRun {
    readonly id: string;
    readonly upstream: string;
    readonly atMs: number;
    /** When the upstream told that it is leaving; undefined while it stays. */
    readonly leavingSinceMs: number | undefined;
}
