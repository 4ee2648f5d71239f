/** An answer kept in the claim stream. `body` is undefined when it was too large to keep. */
export interface RecordedResponse {
    readonly status: number;
    readonly contentType: string;
    readonly body: Uint8Array | undefined;
}
