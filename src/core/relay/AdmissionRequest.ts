/** What admission goes by for one call. */
export interface AdmissionRequest {
    /** Empty for calls of public routes, which share one account. */
    readonly customer: string;
    /** Tier rank of the call (`computeTierRank`). */
    readonly rank: number;
    /** Time until the deadline of the call. */
    readonly remainingMs: number;
    /** False if an upstream may have run part of the call, or if this VM knows only a part of the load. */
    readonly mayRefuse: boolean;
    /** False for a retry or a hedge, whose cost was recorded with the first placement; omitted by older VMs, for which each counts as first. */
    readonly isFirst?: boolean | undefined;
}
