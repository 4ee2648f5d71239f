import type { ResponseSink } from "./ResponseSink.js";
import type { ThrownUpstreamError } from "./ThrownUpstreamError.js";

/** Collects a short body, such as that of an error; what exceeds the limit is dropped. */
export class BodyCollector implements ResponseSink {
    private readonly parts: Buffer[] = [];
    private sizeBytes = 0;
    private readonly ended: PromiseWithResolvers<string> = Promise.withResolvers();

    constructor(private readonly maxBytes: number) {
        this.ended.promise.catch(() => undefined);
    }

    /** The body as text; rejects with an `EngineFailure` when the connection breaks first. */
    get whole(): Promise<string> {
        return this.ended.promise;
    }

    onData(bytes: Buffer): void {
        if (this.sizeBytes + bytes.length <= this.maxBytes) {
            this.parts.push(bytes);
            this.sizeBytes += bytes.length;
        }
    }

    onEnd(): void {
        this.ended.resolve(Buffer.concat(this.parts).toString("utf8"));
    }

    onError(failure: ThrownUpstreamError): void {
        this.ended.reject(failure);
    }
}
