/** A published change, folded at `offset`. `accepted` only when it is in force in every live availability zone. */
export interface ApplyResult {
    readonly status: "accepted" | "pending";
    readonly offset: number;
    /** Live availability zones that have not confirmed the change yet. */
    readonly pendingZones: readonly string[];
}
