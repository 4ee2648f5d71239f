/** The lease of a duty as read from the log. */
export interface Lease {
    readonly holder: string;
    readonly incarnation: string;
    /** Offset of the record by which the holder acquired it. */
    readonly fencingNumber: number;
    /** Offset of the last record that counts. */
    readonly lastOffset: number;
    /** Nonce of that record. */
    readonly nonce: string;
    /** On the reader's clock, counted from when it read the record, so that it lies no earlier than on the holder's. */
    readonly expiresAtMs: number;
    readonly isReleased: boolean;
}
