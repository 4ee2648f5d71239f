import { expect } from "earl";
import { type AddressInfo, createServer } from "node:net";
import { after, test } from "node:test";
import { callRelay } from "./testing/callRelay.js";
import { startTestRelay } from "./testing/startTestRelay.js";

const controller = new AbortController();
after(() => {
    controller.abort();
});

const head = "HTTP/1.1 200 OK\r\ncall-id: r-1\r\ncontent-type: text/event-stream\r\n";
const body = "id: 1\ndata: a\n\n";

/** Starts an upstream that ends each connection after the first `bytes` of its response. */
async function startCutUpstream(response: string, bytes: number, isReset: boolean): Promise<string> {
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.once("data", () => {
            socket.write(response.slice(0, bytes), () => isReset ? socket.resetAndDestroy() : socket.end());
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    controller.signal.addEventListener("abort", () => server.close());
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

for (const framing of [`content-length: ${body.length}\r\n`, "transfer-encoding: chunked\r\n", ""]) {
    for (const isReset of [false, true]) {
        const name = `${framing.split(":")[0] || "no length"}, ${isReset ? "reset" : "closed"}`;
        test(`a response that stops in its head never looks whole to the caller (${name})`, async () => {
            const response = `${head}${framing}\r\n${body}`;
            const headLength = response.indexOf("\r\n\r\n") + 4;
            for (const kind of ["once", "stream"] as const) {
                for (let bytes = 0; bytes < headLength; bytes += bytes > headLength - 5 ? 1 : 4) {
                    const relay = await startTestRelay({ kind }, [await startCutUpstream(response, bytes, isReset)], controller.signal);
                    const { status, isComplete } = await callRelay(relay.port);
                    expect([bytes, status, isComplete]).toEqual([bytes, 502, true]);
                }
            }
        });
    }
}
