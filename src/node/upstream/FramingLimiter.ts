import type { Socket } from "node:net";

/**
 * Maximum size of all that precedes, separates or follows the data of a body: heads, interim responses, chunk sizes and extensions, and
 * trailers. undici limits only names and values of headers, to 16 KiB.
 */
const maxFramingBytes = 64 * 1024;
/** Maximum number of such bytes for each byte of data, in addition to `maxFramingBytes`; a chunk of one byte has five. */
const maxFramingBytesPerDataByte = 16;

/** Closes a connection on which an upstream sends bytes without end that belong to no body, or far more of them than data. */
export class FramingLimiter {
    private requestStartOffset = 0;
    private lastDataOffset = 0;
    private dataBytes = 0;

    constructor(private readonly socket: Socket) {}

    /** Starts to check the connection. undici's own listener must have been added before, so that a check sees what undici has parsed. */
    start(): void {
        this.socket.on("readable", () => {
            const parsedBytes = this.parsedBytes();
            const framingBytes = parsedBytes - this.requestStartOffset - this.dataBytes;
            const isOverLimit = parsedBytes - this.lastDataOffset > maxFramingBytes ||
                framingBytes > maxFramingBytes + maxFramingBytesPerDataByte * this.dataBytes;
            if (isOverLimit) {
                const message = `upstream sent ${framingBytes} bytes outside a response body of ${this.dataBytes} bytes`;
                this.socket.destroy(Object.assign(new Error(message), { code: "RESPONSE_FRAMING_OVERFLOW" }));
            }
        });
    }

    /** Restarts the counts for a new request. */
    startRequest(): void {
        this.requestStartOffset = this.parsedBytes();
        this.lastDataOffset = this.requestStartOffset;
        this.dataBytes = 0;
    }

    recordData(sizeBytes: number): void {
        this.lastDataOffset = this.parsedBytes();
        this.dataBytes += sizeBytes;
    }

    /** Bytes received without those that wait in the socket's buffer while the exchange is paused. */
    private parsedBytes(): number {
        return this.socket.bytesRead - this.socket.readableLength;
    }
}
