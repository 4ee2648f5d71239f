import type { UpstreamError } from "../services/UpstreamError.js";

/** An `EngineError` that can be thrown out of an iteration. */
export class ThrownUpstreamError extends Error implements UpstreamError {
    constructor(readonly kind: UpstreamError["kind"], readonly status: number | undefined, message: string) {
        super(message);
    }
}
