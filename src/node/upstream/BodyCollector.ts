import { GrowingBuffer } from "../../core/util/GrowingBuffer.js";
import type { ResponseSink } from "./ResponseSink.js";
import type { ThrownUpstreamError } from "./ThrownUpstreamError.js";

/** Collects a short response body, such as that of an error. A chunk that would exceed `maxBytes` is dropped. */
export class BodyCollector implements ResponseSink {
    private readonly body = new GrowingBuffer();
    private readonly completion: PromiseWithResolvers<string> = Promise.withResolvers();

    constructor(private readonly maxBytes: number) {
        this.completion.promise.catch(() => undefined);
    }

    /** The complete body as text; rejects with a `ThrownUpstreamError` when the connection fails first. */
    get completeText(): Promise<string> {
        return this.completion.promise;
    }

    onData(bytes: Buffer): void {
        if (this.body.length + bytes.length <= this.maxBytes) {
            this.body.append(bytes);
        }
    }

    onEnd(): void {
        this.completion.resolve(this.body.bytes.toString("utf8"));
    }

    onError(failure: ThrownUpstreamError): void {
        this.completion.reject(failure);
    }
}
