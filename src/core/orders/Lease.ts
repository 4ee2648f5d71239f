/** The lease of a duty, as read from the log. */
export interface Lease {
    readonly holder: string;
    readonly incarnation: string;
    /** Offset of the record with which the holder acquired the lease. */
    readonly fencingNumber: number;
    /** Offset of the last accepted record. */
    readonly lastOffset: number;
    /** Nonce of the last accepted record. */
    readonly nonce: string;
    /** On the reader's clock, counted from when it read the record, so that the lease never expires here before it does for its holder. */
    readonly expiresAtMs: number;
    readonly isReleased: boolean;
}
