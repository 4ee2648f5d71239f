/** An upstream that was considered for a grant but not selected. */
export interface RunnerUp {
    readonly upstreamId: string;
    readonly predictedFinishMs: number;
}
