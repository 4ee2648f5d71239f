import { expect } from "earl";
import type { ServerResponse } from "node:http";
import { after, test } from "node:test";
import { VirtualScheduler } from "../../core/util/VirtualScheduler.js";
import { callRelay } from "./testing/callRelay.js";
import { startScriptedUpstream } from "./testing/startScriptedUpstream.js";
import { startTestRelay } from "./testing/startTestRelay.js";

const controller = new AbortController();
after(() => {
    controller.abort();
});

const own = { "call-id": "r-1" };
const streamHeaders = { ...own, "content-type": "text/event-stream" };
const events = ["id: 4\ndata: a\n\n", "id: 8\ndata: b\n\n", "id: 12\ndata: c\n\n"] as const;
const largeError = "evil".repeat(100_000);

/** What the second upstream sends instead of the rest of the stream. */
const errors: Record<string, (response: ServerResponse) => void> = {
    "an error": response => response.writeHead(500, own).end("evil"),
    "an error of over 256 KiB": response => response.writeHead(500, own).end(largeError),
    "an error as an event stream": response => response.writeHead(500, streamHeaders).end("id: 8\ndata: evil\n\n"),
    "an error in chunks that breaks off": response => response.writeHead(500, own).write("evil", () => response.socket?.destroy()),
    "an error that ends with its connection": response => response.socket?.end("HTTP/1.1 500 Error\r\ncall-id: r-1\r\n\r\nevil"),
    "a client error": response => response.writeHead(404, own).end("evil"),
    "a response that is no stream": response => response.writeHead(200, own).end("evil"),
    "a refusal": response => response.writeHead(503, { ...own, "not-run": "1" }).end("evil"),
    "a response to another call": response => response.writeHead(200, { ...streamHeaders, "call-id": "r-9" }).end("data: evil\n\n"),
    "an event stream without ids": response => response.writeHead(200, streamHeaders).end("event: error\ndata: evil\n\n"),
    "an event stream that starts anew and ends at once": response => response.writeHead(200, streamHeaders).end("id: 1\ndata: evil\n\n"),
    "a stream that breaks inside an event": response => response.writeHead(200, streamHeaders).end("id: 8\ndata: evil"),
    "nothing": response => response.socket?.destroy(),
};

/** Starts a relay and a stream whose upstream breaks off after the first event; returns the response and the call that the second upstream gets. */
async function startBrokenStream(otherAddresses: readonly string[], nextCall: () => Promise<{ readonly response: ServerResponse; }>) {
    const first = await startScriptedUpstream(controller.signal);
    const relay = await startTestRelay(
        { timeoutMs: 60_000, kind: "stream", isResumable: true, maxAttempts: 3 },
        [first.address, ...otherAddresses],
        controller.signal,
        new VirtualScheduler(),
    );
    const answer = callRelay(relay.port, { patience: "60000" });
    const { response } = await first.nextCall();
    response.writeHead(200, streamHeaders).write(`${events[0]}id: 8\nda`, () => response.socket?.destroy());
    return { answer, secondCall: await nextCall() };
}

for (const [name, respond] of Object.entries(errors)) {
    test(`a stream that broke off and was answered with ${name} is resumed on a third upstream`, async () => {
        const [second, third] = await Promise.all([startScriptedUpstream(controller.signal), startScriptedUpstream(controller.signal)]);
        const { answer, secondCall } = await startBrokenStream([second.address, third.address], second.nextCall);
        respond(secondCall.response);
        const thirdCall = await Promise.race([third.nextCall(), answer.then(() => undefined)]);
        expect(thirdCall?.request.headers["last-event-id"]).toEqual("4");
        thirdCall?.response.writeHead(200, streamHeaders).end(events[1] + events[2]);
        expect([(await answer).body, (await answer).isComplete]).toEqual([events.join(""), true]);
    });

    test(`a stream that broke off and was answered with ${name} ends incomplete when no other upstream is left`, async () => {
        const second = await startScriptedUpstream(controller.signal);
        const { answer, secondCall } = await startBrokenStream([second.address], second.nextCall);
        respond(secondCall.response);
        expect([(await answer).body, (await answer).isComplete]).toEqual([events[0], false]);
    });
}
