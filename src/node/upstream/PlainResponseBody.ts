import { PassThrough } from "node:stream";
import type { ResponseSink } from "./ResponseSink.js";
import { ThrownUpstreamError } from "./ThrownUpstreamError.js";
import type { UpstreamExchange } from "./UpstreamExchange.js";

const bufferBytes = 64 * 1024;

/** The body of a plain answer: a slow reader pauses the upstream, and leaving the stream closes the connection. */
export class PlainResponseBody implements ResponseSink {
    readonly stream = new PassThrough({ highWaterMark: bufferBytes });
    /** When the upstream last sent anything or was last let go on. */
    lastDataMs = 0;
    private isPaused = false;
    private isEnded = false;
    private receivedBytes = 0;

    constructor(
        private readonly exchange: UpstreamExchange,
        private readonly maxBytes: number,
        private readonly nowMs: () => number,
    ) {
        this.lastDataMs = nowMs();
        this.stream.on("drain", () => {
            this.isPaused = false;
            this.lastDataMs = this.nowMs();
            exchange.resume();
        });
        this.stream.on("close", () => {
            this.isEnded = true;
            exchange.abort(new ThrownUpstreamError("cancelled", undefined, "the reader left before the end of the answer"));
        });
    }

    /** How long the upstream has been silent; 0 while the reader holds it back. */
    getIdleMs(): number {
        return this.isPaused || this.isEnded ? 0 : this.nowMs() - this.lastDataMs;
    }

    onData(bytes: Buffer): void {
        this.lastDataMs = this.nowMs();
        this.receivedBytes += bytes.length;
        if (this.receivedBytes > this.maxBytes) {
            this.exchange.abort(
                new ThrownUpstreamError(
                    "broken",
                    undefined,
                    `answer is larger than ${this.maxBytes} bytes; raise the limit or ask for less`,
                ),
            );
            return;
        }
        if (!this.stream.write(bytes)) {
            this.isPaused = true;
            this.exchange.pause();
        }
    }

    onEnd(): void {
        this.isEnded = true;
        this.stream.end();
    }

    onError(failure: ThrownUpstreamError): void {
        this.isEnded = true;
        this.stream.destroy(failure);
    }
}
