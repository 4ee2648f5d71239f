/** Why an order call has no good answer. `unknown`: the order may have run, now or later; `stale`: another holder has a newer number. */
export interface EngineOrderError {
    readonly kind: "unreachable" | "unknown" | "stale" | "refused";
    /** Names the remedy. */
    readonly message: string;
}
