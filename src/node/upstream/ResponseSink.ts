import type { ThrownUpstreamError } from "./ThrownUpstreamError.js";

/** Receives the body of an upstream's response. */
export interface ResponseSink {
    onData(bytes: Buffer): void;
    onEnd(): void;
    onError(failure: ThrownUpstreamError): void;
}
