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
    /** On the reader's clock, counted from reading the record, so that no reader considers the lease expired before its holder does. */
    readonly expiresAtMs: number;
    readonly isReleased: boolean;
}
