/** A claim of this VM whose call has not finished yet. */
export interface LocalClaim {
    readonly key: string;
    readonly digest: string;
    readonly nonce: number;
    readonly createdMs: number;
    readonly createdWallMs: number;
    /** True once the claim was read back from the log as the first one for its key. */
    isConfirmed: boolean;
    /** Appends of the claim that succeeded, may have succeeded or are in flight; at 0 the claim cannot be in the log. */
    uncertainAppendCount: number;
    /** `pending`: not read back yet; `won`, `lost`: read back as first or later claim of the key; `sent`: the call was sent. */
    status: "pending" | "won" | "lost" | "sent";
}
