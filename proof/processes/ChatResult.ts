/** The response to one streamed chat, as its caller received it. */
export interface ChatResult {
    /** HTTP status; 0 when the connection failed before the response head. */
    readonly status: number;
    readonly text: string;
    /** Whether the stream ended with its closing event, `[DONE]`. */
    readonly isClosed: boolean;
    readonly outcome: string;
}
