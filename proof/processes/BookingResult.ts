/** What the caller of one booking was told. */
export interface BookingResult {
    /** 0 when the connection failed before an answer. */
    readonly status: number;
    readonly outcome: string;
    readonly body: string;
}
