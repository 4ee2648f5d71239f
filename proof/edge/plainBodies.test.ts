import { expect } from "earl";
import { test, type TestContext } from "node:test";
import { ServiceStandin } from "../../standins/service/ServiceStandin.js";
import { EdgeFixture } from "./EdgeFixture.js";

const testOptions = { timeout: 15_000 };
const maxStreamedBodyBytes = 4_000_000;

test("a body of unknown length is streamed to the service, and the answer is streamed back", testOptions, async context => {
    const { edge, url, service } = await setUp(context);
    const text = "spruce ".repeat(400_000);
    const response = await put(edge, url, text);
    expect(response.status).toEqual(200);
    const answer = await response.json() as { received: string; method: string; path: string; };
    expect([answer.method, answer.path, answer.received === text]).toEqual(["PUT", "/sheets/1?draft=yes", true]);
    expect(service.calls.length).toEqual(1);
    expect(edge.dispatch.ends.map(end => end.result)).toEqual(["completed"]);
});

test("a streamed body over the limit is aborted with 413 and does not count as a failure of the service", testOptions, async context => {
    const { edge, url, service } = await setUp(context);
    for (let call = 0; call < 6; call++) {
        const response = await put(edge, url, "x".repeat(maxStreamedBodyBytes + 1));
        expect([response.status, response.headers.get("x-orioleshelf-outcome")]).toEqual([413, "unknown"]);
    }
    expect(service.calls.length).toEqual(0);
    expect((await put(edge, url, "short")).status).toEqual(200);
});

test("an answer over the limit is aborted and reaches the caller as a failed response", testOptions, async context => {
    const { edge, url } = await setUp(context);
    await expect(async () => {
        // The service echoes the body inside JSON, which makes the answer longer than the limit.
        const response = await put(edge, url, "x".repeat(maxStreamedBodyBytes - 10));
        await response.text();
    }).toBeRejected();
    expect((await edge.waitForEnded(1))[0]?.isComplete).toEqual(false);
});

test("HEAD and DELETE calls without an idempotency key reach the service unchanged", testOptions, async context => {
    const { edge, url, service } = await setUp(context);
    for (const method of ["HEAD", "DELETE"]) {
        expect((await fetch(`${url}/services/stock/sets/9`, { method, headers: edge.headers })).status).toEqual(200);
    }
    expect(service.calls.map(call => [call.method, call.path])).toEqual([["HEAD", "/sets/9"], ["DELETE", "/sets/9"]]);
});

async function setUp(context: TestContext): Promise<{ edge: EdgeFixture; url: string; service: ServiceStandin; }> {
    const stop = new AbortController();
    const service = new ServiceStandin();
    const edge = new EdgeFixture({ serviceUrls: [await service.start(stop.signal)], callerLimits: { maxStreamedBodyBytes } });
    context.after(() => {
        edge.close();
        stop.abort();
    });
    return { edge, url: await edge.start(), service };
}

/** Sends a chunked body without a content-length. */
function put(edge: EdgeFixture, url: string, text: string): Promise<Response> {
    const body = new Blob([text]).stream();
    return fetch(`${url}/services/stock/sheets/1?draft=yes`, { method: "PUT", headers: edge.headers, body, duplex: "half" } as RequestInit);
}
