/** The answer an upstream gave to a keyed call, kept for replays. */
export interface BookingResponse {
    readonly status: number;
    readonly contentType: string;
    readonly body: Uint8Array;
}
