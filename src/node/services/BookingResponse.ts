/** An upstream's response to a call with an idempotency key, stored for replay. */
export interface BookingResponse {
    readonly status: number;
    readonly contentType: string;
    readonly body: Uint8Array;
}
