import { expect } from "earl";
import { test, type TestContext } from "node:test";
import { VirtualScheduler } from "../../src/core/util/VirtualScheduler.js";
import { ServiceStandin } from "../../standins/service/ServiceStandin.js";
import { TcpProxy } from "../../standins/shared/TcpProxy.js";
import { EdgeFixture } from "./EdgeFixture.js";
import { passSilenceLimit } from "./passSilenceLimit.js";
import { until } from "./until.js";

/** URL of a port that no test is given, so that connections to it are refused. */
const closedUrl = "http://127.0.0.1:1";

interface Case {
    readonly mode: TcpProxy["mode"];
    /** A reset on accept can reach the client before or after it starts to write, so either outcome is valid. */
    readonly outcomes: readonly string[];
    readonly executions: number;
    readonly isSilent?: boolean;
}

/** Outcomes that the caller of a non-repeatable call may receive for each connection fault, and how often the service runs the call. */
const cases: readonly Case[] = [
    { mode: "pass", outcomes: ["ran"], executions: 1 },
    { mode: "late-answer", outcomes: ["ran"], executions: 1 },
    { mode: "reset-on-accept", outcomes: ["unknown", "not-run"], executions: 0 },
    { mode: "reset-after-request", outcomes: ["unknown"], executions: 0 },
    { mode: "reset-before-answer", outcomes: ["unknown"], executions: 1 },
    { mode: "swallow-request", outcomes: ["unknown"], executions: 0, isSilent: true },
    { mode: "swallow-answer", outcomes: ["unknown"], executions: 1, isSilent: true },
];

for (const { mode, outcomes, executions, isSilent } of cases) {
    for (const key of ["booking-1", undefined]) {
        test(`${key === undefined ? "a call without a key" : "a keyed call"}, connection mode ${mode}: sent once, outcome ${outcomes.join(" or ")}`, async context => {
            const scheduler = new VirtualScheduler();
            const { edge, url, service, proxy } = await setUp(context, scheduler);
            proxy.mode = mode;
            const answered = book(edge, url, key);
            if (isSilent === true) {
                await until(() => proxy.accepted === 1 && service.calls.length === executions);
                await passSilenceLimit(edge, scheduler);
            }
            const response = await answered;
            const outcome = response.headers.get("x-orioleshelf-outcome") ?? "";
            expect(outcomes).toInclude(outcome);
            if (outcome !== "ran") {
                expect((await response.json() as { error: { outcome: string; }; }).error.outcome).toEqual(outcome);
                expect(response.headers.get("x-should-retry")).toEqual(outcome === "not-run" ? null : "false"); // eslint-disable-line no-restricted-syntax -- what `Headers.get` gives
            }
            expect(service.calls.length).toEqual(executions);
            expect(edge.dispatch.open.size).toEqual(0);
        });
    }
}

test("a call whose connection is refused moves to the next upstream", async context => {
    const { edge, url, service, serviceUrl } = await setUp(context);
    edge.setServiceUrls([closedUrl, serviceUrl]);
    const response = await book(edge, url, "booking-2");
    expect([response.status, response.headers.get("x-orioleshelf-outcome")]).toEqual([200, "ran"]);
    expect(service.executionsOf("booking-2")).toEqual(1);
    expect((await edge.waitForEnded(1))[0]?.attempts).toEqual(2);
});

test("a call with no listening upstream has outcome not-run, and its key runs once when an upstream returns", async context => {
    const { edge, url, service, serviceUrl } = await setUp(context);
    edge.setServiceUrls([closedUrl]);
    const refused = await book(edge, url, "booking-3");
    expect([refused.status, refused.headers.get("x-orioleshelf-outcome")]).toEqual([503, "not-run"]);
    edge.setServiceUrls([serviceUrl]);
    const answered = await book(edge, url, "booking-3");
    expect([answered.status, answered.headers.get("x-orioleshelf-outcome")]).toEqual([200, "ran"]);
    expect(service.executionsOf("booking-3")).toEqual(1);
});

test("a call that an upstream reports as not run moves to another upstream", async context => {
    const { edge, url, service, serviceUrl } = await setUp(context);
    const stop = new AbortController();
    context.after(() => stop.abort());
    const leaving = new ServiceStandin();
    leaving.faults.set({ kind: "leaving", delayMs: 0, factor: 1, afterTokens: 0 });
    edge.setServiceUrls([await leaving.start(stop.signal), serviceUrl]);
    expect((await book(edge, url, undefined)).status).toEqual(200);
    expect([leaving.calls.length, service.calls.length]).toEqual([0, 1]);
});

test("a repeated idempotency key returns the first answer, another body is refused, and the service runs once", async context => {
    const { edge, url, service } = await setUp(context);
    const [first, second] = await Promise.all([book(edge, url, "booking-4"), book(edge, url, "booking-4")]);
    expect(await first.text()).toEqual(await second.text());
    const other = await book(edge, url, "booking-4", "another wood set");
    expect([other.status, other.headers.get("x-orioleshelf-outcome")]).toEqual([422, "not-run"]);
    expect(service.executionsOf("booking-4")).toEqual(1);
});

test("a call to a repeatable service is retried after a connection reset", async context => {
    const { edge, url, service, serviceUrl, proxy } = await setUp(context);
    proxy.mode = "reset-before-answer";
    edge.setServiceUrls([edge.serviceUrls[0] ?? "", serviceUrl]);
    const response = await fetch(`${url}/services/stock/sets?wood=spruce`, { headers: edge.headers });
    expect([response.status, response.headers.get("x-orioleshelf-outcome")]).toEqual([200, "ran"]);
    expect(service.calls.map(call => call.path)).toEqual(["/sets?wood=spruce", "/sets?wood=spruce"]);
});

test("a truncated answer reaches the caller as a failed response", async context => {
    const { edge, url, proxy } = await setUp(context);
    proxy.mode = "cut-answer";
    await expect(async () => {
        const response = await fetch(`${url}/services/pumpline-jobs/callouts`, { method: "POST", headers: edge.headers, body: "{}" });
        await response.text();
    }).toBeRejected();
});

async function setUp(context: TestContext, scheduler?: VirtualScheduler): Promise<{
    edge: EdgeFixture;
    url: string;
    service: ServiceStandin;
    serviceUrl: string;
    proxy: TcpProxy;
}> {
    const stop = new AbortController();
    const service = new ServiceStandin();
    const serviceUrl = await service.start(stop.signal);
    const proxy = new TcpProxy(serviceUrl);
    const edge = new EdgeFixture({ serviceUrls: [await proxy.start(stop.signal)], ...(scheduler === undefined ? {} : { scheduler }) });
    const url = await edge.start();
    context.after(() => {
        edge.close();
        stop.abort();
    });
    return { edge, url, service, serviceUrl, proxy };
}

function book(edge: EdgeFixture, url: string, key: string | undefined, body = "wood set 12"): Promise<Response> {
    const headers = key === undefined ? edge.headers : { ...edge.headers, "idempotency-key": key };
    return fetch(`${url}/services/pumpline-jobs/callouts`, { method: "POST", headers, body: JSON.stringify({ body }) });
}
