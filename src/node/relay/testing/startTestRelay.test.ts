import { expect } from "earl";
import { Server } from "node:net";
import { test } from "node:test";
import { startTestRelay } from "./startTestRelay.js";

test("a test relay listens once, so that no other process can take its port in between", async context => {
    const controller = new AbortController();
    context.after(() => {
        controller.abort();
    });
    const listen = context.mock.method(Server.prototype, "listen");
    const { port } = await startTestRelay({}, [], controller.signal);
    expect(listen.mock.calls.map(call => call.arguments[0] as unknown)).toEqual([0]);
    expect(port).toBeGreaterThan(0);
});
