/** One request in an engine's batch. Lower `priority` is served first. */
export interface BatchRequest {
    readonly priority: number;
    /** Prompt tokens that are not in the prefix cache. */
    readonly prefillTokens: number;
    /** Emits one token. */
    step(): "running" | "finished";
}
