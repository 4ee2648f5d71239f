/** One completion for an engine. */
export interface EngineRequest {
    readonly requestId: string;
    /** The caller's body, parsed; the engine client adds what the engine needs. */
    readonly body: Readonly<Record<string, unknown>>;
    readonly endpoint: "/v1/chat/completions" | "/v1/completions";
    readonly priority: number;
    /** Continue after this many tokens, which the caller already has; `prefixText` is their text. */
    readonly resumeFromToken: number;
    readonly resumePrefix: string;
}
