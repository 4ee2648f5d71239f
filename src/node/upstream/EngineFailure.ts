import type { EngineError } from "../services/EngineError.js";

/** An `EngineError` that can be thrown out of an iteration. */
export class EngineFailure extends Error implements EngineError {
    constructor(readonly kind: EngineError["kind"], readonly status: number | undefined, message: string) {
        super(message);
    }
}
