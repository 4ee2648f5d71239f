/** An upstream that was weighed for a grant and not taken. */
export interface RunnerUp {
    readonly upstreamId: string;
    readonly predictedFinishMs: number;
}
