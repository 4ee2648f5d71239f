import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

/** One request that a scripted upstream has received, and the response that the test sends to it. */
interface ReceivedCall {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    /** Resolves when the connection of the call has been closed. */
    readonly closed: Promise<void>;
}

/** Starts an upstream on loopback that sends only what a test tells it to. */
export async function startScriptedUpstream(signal: AbortSignal) {
    const received: ReceivedCall[] = [];
    const waiting: ((call: ReceivedCall) => void)[] = [];
    const server = createServer((request, response) => {
        const closed = Promise.withResolvers<void>();
        request.socket.once("close", () => {
            closed.resolve();
        });
        request.resume().on("end", () => {
            const call = { request, response, closed: closed.promise };
            const resolve = waiting.shift();
            if (resolve === undefined) {
                received.push(call);
            }
            else {
                resolve(call);
            }
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    signal.addEventListener("abort", () => {
        server.close();
        server.closeAllConnections();
    });
    return {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        /** Resolves with the next call that the upstream receives. */
        nextCall: (): Promise<ReceivedCall> => {
            const call = received.shift();
            return call === undefined ? new Promise(resolve => waiting.push(resolve)) : Promise.resolve(call);
        },
        /** Number of calls that were received and not taken with `nextCall`. */
        untakenCalls: () => received.length,
        /** Closes the port and all connections, as the end of the process would. */
        crash: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
