import type { PromptMetadata } from "./PromptMetadata.js";

/** What the head of a relayed call says, decoded. */
export interface RelayCall {
    /** Identifies this attempt of the caller; each attempt has its own. */
    readonly requestId: string;
    readonly method: string;
    readonly host: string;
    /** Path without the query. */
    readonly path: string;
    /** Path and query as received. */
    readonly target: string;
    readonly key: string | undefined;
    /** How long the caller will wait. */
    readonly patienceMs: number | undefined;
    /** The call continues a stream after the event with this id. */
    readonly lastEventId: string | undefined;
    /** Size of a language-model prompt; undefined for other calls. */
    readonly prompt: PromptMetadata | undefined;
}
