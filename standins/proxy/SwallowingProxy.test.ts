import { expect } from "earl";
import { once } from "node:events";
import { type AddressInfo, connect, createServer } from "node:net";
import { test } from "node:test";
import { SwallowingProxy } from "./SwallowingProxy.js";

async function startEcho(signal: AbortSignal): Promise<number> {
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.pipe(socket);
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    signal.addEventListener("abort", () => {
        server.close();
    }, { once: true });
    return (server.address() as AddressInfo).port;
}

async function openConnection(): Promise<
    { readonly proxy: SwallowingProxy; readonly client: ReturnType<typeof connect>; readonly stop: () => void; }
> {
    const controller = new AbortController();
    const proxy = new SwallowingProxy(await startEcho(controller.signal));
    const client = connect(await proxy.start(controller.signal), "127.0.0.1");
    client.setNoDelay(true);
    await once(client, "connect");
    return {
        proxy,
        client,
        stop: () => {
            client.destroy();
            controller.abort();
        },
    };
}

test("bytes stay in order when the delay is reduced while earlier bytes are pending", async () => {
    const { proxy, client, stop } = await openConnection();
    let seen = "";
    const whole = new Promise<void>(resolve => {
        client.on("data", bytes => {
            seen += String(bytes);
            if (seen.length === 20) {
                resolve();
            }
        });
    });
    for (let index = 0; index < 20; index++) {
        proxy.delayMs = [40, 3, 0][index % 3] ?? 0;
        client.write(String.fromCharCode(97 + index));
        await new Promise(resolve => {
            setTimeout(resolve, 2);
        });
    }
    await whole;
    expect(seen).toEqual("abcdefghijklmnopqrst");
    stop();
});

test("resetAll resets open connections", async () => {
    const { proxy, client, stop } = await openConnection();
    const ended = once(client, "error");
    client.write("x");
    await once(client, "data");
    proxy.resetAll();
    expect(((await ended)[0] as NodeJS.ErrnoException).code).toEqual("ECONNRESET");
    stop();
});
