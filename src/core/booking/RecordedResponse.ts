/** Response recorded in the booking stream. `body` is undefined if it was too large to store. */
export interface RecordedResponse {
    readonly status: number;
    readonly contentType: string;
    readonly body: Uint8Array | undefined;
}
