import { expect } from "earl";
import { errAsync } from "neverthrow";
import { test } from "node:test";
import { createRequestSummary } from "../report/testing/createRequestSummary.js";
import { InstrumentedPeerLinks } from "./InstrumentedPeerLinks.js";
import { Metrics } from "./Metrics.js";

const summary = createRequestSummary({ maxTokenGapMs: 50, wastedTokens: 2 });

test("an ended request is counted by class, path and outcome, with its durations and tokens", async () => {
    const metrics = new Metrics();
    metrics.requestEnded(summary);
    const text = await metrics.render();
    expect(text).toMatchRegex(/orioleshelf_requests_total\{class="urgent",path="new",outcome="ran"\} 1/);
    expect(text).toMatchRegex(/orioleshelf_first_token_seconds_sum\{class="urgent",path="new"\} 0.04/);
    expect(text).toMatchRegex(/orioleshelf_wasted_tokens_total\{class="urgent",path="new"\} 2/);
});

test("many service classes and error codes do not exceed the label limits", async () => {
    const metrics = new Metrics();
    for (let index = 0; index < 1_000; index++) {
        metrics.requestEnded({ ...summary, serviceClass: `class-${index}`, errorCode: `code-${index}` });
    }
    const text = await metrics.render();
    expect(new Set(text.match(/requests_total\{class="[^"]+"/g)).size).toEqual(33);
    expect(new Set(text.match(/code="[^"]+"/g)).size).toEqual(65);
});

test("messages between VMs are counted by type and direction, with the CPU time of their handlers", async () => {
    const metrics = new Metrics();
    const handlers: ((from: string, message: never) => unknown)[] = [];
    const links = new InstrumentedPeerLinks(
        {
            send: () => true,
            request: () => errAsync({ kind: "no-link", message: "" }),
            onMessage: (...[, handler]) => {
                handlers.push(handler as (from: string, message: never) => unknown);
            },
        },
        metrics,
    );
    links.onMessage("configFetch", () => ({ type: "configRecords", records: [] }), new AbortController().signal);
    expect(handlers[0]?.("ba-1", { type: "configFetch", fromOffset: 0 } as never)).toEqual({ type: "configRecords", records: [] });
    links.send("ba-1", { type: "configFetch", fromOffset: 0 });
    const text = await metrics.render();
    expect(text).toMatchRegex(/control_messages_total\{message="configFetch",direction="received"\} 1/);
    expect(text).toMatchRegex(/control_messages_total\{message="configFetch",direction="sent"\} 1/);
    expect(text).toMatchRegex(/control_cpu_seconds_total\{message="configFetch"\} \d/);
});
