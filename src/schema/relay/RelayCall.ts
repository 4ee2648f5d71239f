import type { PromptMetadata } from "./PromptMetadata.js";

/** Decoded request line and headers of a relayed call. */
export interface RelayCall {
    /** Unique per attempt of the caller. */
    readonly requestId: string;
    readonly method: string;
    readonly host: string;
    /** Path without the query. */
    readonly path: string;
    /** Path and query as received. */
    readonly target: string;
    /** Key that identifies the customer; undefined if the call has none. */
    readonly key: string | undefined;
    /** How long the caller is willing to wait; undefined if not stated. */
    readonly patienceMs: number | undefined;
    /** Id of the event after which the call resumes a stream; undefined for other calls. */
    readonly lastEventId: string | undefined;
    /** Prompt metadata of a language-model call; undefined for other calls. */
    readonly prompt: PromptMetadata | undefined;
}
