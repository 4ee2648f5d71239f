/** A claim that this VM has appended and not yet finished with. */
export interface LocalClaim {
    readonly key: string;
    readonly digest: string;
    readonly nonce: number;
    readonly createdMs: number;
    readonly createdWallMs: number;
    /** `pending`: not read back; `won` and `lost`: read back; `sent`: the call went out. */
    /** The claim has been read back from the log as the first of its key. */
    isConfirmed: boolean;
    /** Appends that landed, may have landed or are under way; with none the claim cannot be in the log. */
    uncertainAppendCount: number;
    status: "pending" | "won" | "lost" | "sent";
}
