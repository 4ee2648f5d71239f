import type { Socket } from "node:net";

/**
 * Maximum size of all that precedes, separates or follows the data of a body: heads, interim responses, chunk sizes and extensions, and
 * trailers. undici limits only names and values of headers, to 16 KiB.
 */
const maxFramingBytes = 64 * 1024;

/** Closes a connection on which an upstream sends bytes without end that belong to no body. */
export class FramingLimiter {
    private framingStartOffset = 0;

    constructor(private readonly socket: Socket) {}

    /** Starts to check the connection. undici's own listener must have been added before, so that a check sees what undici has parsed. */
    start(): void {
        this.socket.on("readable", () => {
            if (this.parsedBytes() - this.framingStartOffset > maxFramingBytes) {
                const message = `upstream sent more than ${maxFramingBytes} bytes outside a response body`;
                this.socket.destroy(Object.assign(new Error(message), { code: "RESPONSE_FRAMING_OVERFLOW" }));
            }
        });
    }

    /** Restarts the count; called when a request starts and when data of a body arrives. */
    reset(): void {
        this.framingStartOffset = this.parsedBytes();
    }

    /** Bytes received without those that wait in the socket's buffer while the exchange is paused. */
    private parsedBytes(): number {
        return this.socket.bytesRead - this.socket.readableLength;
    }
}
