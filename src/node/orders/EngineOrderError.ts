/**
 * Why an order call failed. `unknown`: the order may have run or may still run; `stale`: the engine has seen a newer fencing
 * number; `refused`: any other error response or an invalid report; `unreachable`: the engine's state could not be read.
 */
export interface EngineOrderError {
    readonly kind: "unreachable" | "unknown" | "stale" | "refused";
    /** Describes the failure and its remedy. */
    readonly message: string;
}
