/** Comparison of one figure with its bound; `id` is `bound/workload`. */
export interface BoundCheck {
    readonly id: string;
    /** Mean over the seeds. */
    readonly value: number;
    readonly worst: number;
    readonly limit: string;
    readonly isMet: boolean;
}
