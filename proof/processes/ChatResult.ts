/** What the caller of one streamed chat got. */
export interface ChatResult {
    /** 0 when the connection failed before an answer. */
    readonly status: number;
    readonly text: string;
    /** The stream ended with its closing event. */
    readonly isClosed: boolean;
    readonly outcome: string;
}
