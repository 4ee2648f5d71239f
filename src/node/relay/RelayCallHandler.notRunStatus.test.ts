import { expect } from "earl";
import { after, test } from "node:test";
import type { RelayRoute } from "../../schema/relay/RelayRoute.js";
import { callRelay } from "./testing/callRelay.js";
import { startScriptedUpstream } from "./testing/startScriptedUpstream.js";
import { startTestRelay } from "./testing/startTestRelay.js";

const controller = new AbortController();
after(() => {
    controller.abort();
});

const ranHeaders = { "call-id": "r-1", "retry-after": "1", "seal": "s" };
const smallBody = "failed";
/** More than a held response may have, so that it is forwarded while it arrives. */
const largeBody = "x".repeat(300 * 1024);

/** Sends a call through a relay whose upstreams answer it as scripted, one attempt each. */
async function callThroughRelay(
    route: Partial<RelayRoute>,
    responses: readonly { readonly status: number; readonly headers?: Record<string, string>; readonly body?: string; }[],
) {
    const upstreams = await Promise.all(responses.map(() => startScriptedUpstream(controller.signal)));
    const relay = await startTestRelay(
        { timeoutMs: 60_000, ...route },
        upstreams.map(({ address }) => address),
        controller.signal,
    );
    const answer = callRelay(relay.port);
    for (const [index, { status, headers = ranHeaders, body = smallBody }] of responses.entries()) {
        const call = await upstreams[index]?.nextCall();
        call?.response.writeHead(status, headers).end(body);
    }
    return { ...await answer, summary: relay.summaries[0] };
}

// Guards against callers that repeat a booking because its upstream answered, after it had run it, with a status that says that it had not.
for (const status of [408, 421, 429, 503]) {
    for (const route of [{ kind: "once" }, { kind: "stream", isResumable: false }] as const) {
        for (const body of [smallBody, largeBody]) {
            test(`status ${status} after a run is not forwarded for a call of kind ${route.kind}, ${body.length} bytes`, async () => {
                const answer = await callThroughRelay(route, [{ status, body }]);
                expect([answer.status, answer.headers["seal"], answer.headers["retry-after"]]).toEqual([502, undefined, undefined]);
                expect(answer.isComplete).toEqual(true);
                expect(answer.summary?.outcome).not.toEqual("not-run");
            });
        }
    }
}

test("status 503 after a run is not forwarded for the second attempt of a call that the first upstream has refused", async () => {
    const refusal = { status: 503, headers: { "call-id": "r-1", "not-run": "1" } };
    const answer = await callThroughRelay({ kind: "once", maxAttempts: 2 }, [refusal, { status: 503 }]);
    expect([answer.status, answer.summary?.outcome]).toEqual([502, "ran"]);
});

test("status 500 after a run is forwarded unchanged for a call that may run only once", async () => {
    const answer = await callThroughRelay({ kind: "once" }, [{ status: 500 }]);
    expect([answer.status, answer.headers["seal"], answer.body]).toEqual([500, "s", smallBody]);
});

for (const body of [smallBody, largeBody]) {
    test(`status 503 after a run is forwarded unchanged for a call that may run again, ${body.length} bytes`, async () => {
        const answer = await callThroughRelay({ kind: "repeatable", maxAttempts: 1 }, [{ status: 503, body }]);
        expect([answer.status, answer.headers["seal"], answer.headers["retry-after"], answer.body]).toEqual([503, "s", "1", body]);
    });
}

test("a call that no upstream has run is refused as not run", async () => {
    const refusal = { status: 503, headers: { "call-id": "r-1", "not-run": "1", "retry-after": "2" } };
    const answer = await callThroughRelay({ kind: "once", maxAttempts: 1 }, [refusal]);
    expect([answer.status, answer.headers["retry-after"], answer.summary?.outcome]).toEqual([503, "2", "not-run"]);
});
