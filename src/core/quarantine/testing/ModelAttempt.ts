import type { ModelCall } from "./ModelCall.js";
import type { ModelEngine } from "./ModelEngine.js";

/** One sending of a call to an engine of the model. */
export interface ModelAttempt {
    readonly call: ModelCall;
    readonly engine: ModelEngine;
    readonly vm: number;
    readonly sentMs: number;
    readonly attempt: number;
    state: "waiting" | "streaming" | "ended";
}
