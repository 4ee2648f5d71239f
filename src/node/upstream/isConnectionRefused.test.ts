import { expect } from "earl";
import { type AddressInfo, createServer } from "node:net";
import { test } from "node:test";
import { isConnectionRefused } from "./isConnectionRefused.js";

test("only a connection that nothing listens for is refused, and not one that was given up", async () => {
    const server = createServer();
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const signal = new AbortController().signal;
    expect(await isConnectionRefused(address, signal)).toEqual(false);
    expect(await isConnectionRefused("127.0.0.1:1", signal)).toEqual(true);
    expect(await isConnectionRefused("127.0.0.1:1", AbortSignal.abort())).toEqual(false);
    server.close();
});
