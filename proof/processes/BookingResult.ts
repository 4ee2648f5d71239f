/** The response to one booking, as its caller received it. */
export interface BookingResult {
    /** HTTP status; 0 when the connection failed before a complete response. */
    readonly status: number;
    readonly outcome: string;
    readonly body: string;
}
