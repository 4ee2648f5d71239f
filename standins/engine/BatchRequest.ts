/** A request in an engine's batch. Lower values of `priority` are admitted first. */
export interface BatchRequest {
    readonly priority: number;
    /** Prompt tokens that are not in the prefix cache. */
    readonly prefillTokens: number;
    /** Generates one token. */
    step(): "running" | "finished";
}
