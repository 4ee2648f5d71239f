import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";

interface EndlessResponse {
    /** Sent once. */
    readonly start: string;
    /** Sent again and again after `start` until the router closes the connection; empty for a response that ends. */
    readonly filler: string;
    /** Send the filler one byte at a time. */
    readonly isSlow?: boolean;
}

/** Far more than the router may read of any response here, and more than the socket buffers of the system hold. */
const maxSentBytes = 64 * 1024 * 1024;
const writeBytes = 16 * 1024;
const slowIntervalMs = 1;
/** Number of bytes after which a slow response counts as started. */
const startedBytes = 20;

/**
 * Starts an upstream that sends raw bytes without end. `responses` holds what it sends for each request, over all its connections; the
 * last entry also serves later requests.
 */
export async function startEndlessUpstream(responses: readonly EndlessResponse[], signal: AbortSignal) {
    const end = Promise.withResolvers<"closed by the router" | "still open after 64 MiB">();
    const start = Promise.withResolvers<void>();
    let requestCount = 0;
    let connectionCount = 0;
    const server = createServer(socket => {
        connectionCount++;
        socket.on("error", () => undefined);
        signal.addEventListener("abort", () => socket.destroy(), { once: true });
        socket.on("data", () => {
            const response = responses[Math.min(requestCount++, responses.length - 1)];
            if (response === undefined) {
                return;
            }
            socket.write(response.start);
            if (response.filler !== "") {
                socket.once("close", () => {
                    end.resolve("closed by the router");
                });
                void sendEndlessly(socket, response, start.resolve).then(() => {
                    end.resolve("still open after 64 MiB");
                });
            }
        });
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    signal.addEventListener("abort", () => server.close(), { once: true });
    return {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        /** How the first endless response ended. */
        end: end.promise,
        /** Resolves when some bytes of a slow response have been sent. */
        start: start.promise,
        connectionCount: () => connectionCount,
        requestCount: () => requestCount,
    };
}

/** Resolves when `maxSentBytes` have been written; never when the connection closes earlier. */
async function sendEndlessly(socket: Socket, { filler, isSlow = false }: EndlessResponse, onStart: () => void): Promise<void> {
    const bytes = Buffer.from(isSlow ? filler : filler.repeat(Math.ceil(writeBytes / filler.length)));
    for (let index = 0; socket.bytesWritten < maxSentBytes; index++) {
        const isWritable = socket.write(isSlow ? bytes.subarray(index % bytes.length, index % bytes.length + 1) : bytes);
        await new Promise<void>(resolve => {
            if (isSlow) {
                setTimeout(resolve, slowIntervalMs);
            }
            else if (isWritable) {
                setImmediate(resolve);
            }
            else {
                socket.once("drain", resolve);
            }
        });
        if (index === startedBytes) {
            onStart();
        }
        if (socket.destroyed) {
            return new Promise(() => undefined);
        }
    }
}
