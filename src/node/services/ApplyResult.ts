/** The published change is folded at `offset`. `accepted` only when every live availability zone has it in force. */
export interface ApplyResult {
    readonly status: "accepted" | "pending";
    readonly offset: number;
    /** Zones that have not confirmed yet. */
    readonly pendingZones: readonly string[];
}
