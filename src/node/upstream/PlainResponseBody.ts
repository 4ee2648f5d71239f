import { PassThrough } from "node:stream";
import type { ResponseSink } from "./ResponseSink.js";
import { ThrownUpstreamError } from "./ThrownUpstreamError.js";
import type { UpstreamExchange } from "./UpstreamExchange.js";

const bufferSizeBytes = 64 * 1024;

/** The response body of a plain service: a slow reader pauses the upstream, and closing the stream closes the connection. */
export class PlainResponseBody implements ResponseSink {
    readonly stream = new PassThrough({ highWaterMark: bufferSizeBytes });
    /** When the upstream last sent data or was last resumed. */
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
            exchange.abort(new ThrownUpstreamError("cancelled", undefined, "the reader closed the stream before the end of the response"));
        });
    }

    /** Time since the upstream last sent data, in ms; 0 while backpressure pauses it and after the end. */
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
                    `response is larger than ${this.maxBytes} bytes; raise the limit or request less data`,
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
