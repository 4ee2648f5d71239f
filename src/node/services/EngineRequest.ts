/** One completion request to an engine. */
export interface EngineRequest {
    readonly requestId: string;
    /** The caller's parsed request body; the engine client adds the fields that the engine requires. */
    readonly body: Readonly<Record<string, unknown>>;
    readonly endpoint: "/v1/chat/completions" | "/v1/completions";
    /** 0 is most urgent. */
    readonly priority: number;
    /** Number of output tokens that the caller already has and after which the engine continues; 0 for a new completion. */
    readonly resumeFromToken: number;
    /** Text of these tokens. */
    readonly resumePrefix: string;
}
