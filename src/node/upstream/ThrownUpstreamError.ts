import type { UpstreamError } from "../services/UpstreamError.js";

/** An `UpstreamError` that can be thrown or reject a promise. */
export class ThrownUpstreamError extends Error implements UpstreamError {
    constructor(readonly kind: UpstreamError["kind"], readonly status: number | undefined, message: string) {
        super(message);
    }
}
