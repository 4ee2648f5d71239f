import { expect } from "earl";
import fc from "fast-check";
import { connect } from "node:net";
import { test, type TestContext } from "node:test";
import { EdgeFixture } from "./EdgeFixture.js";
import { setUpEngines } from "./setUpEngines.js";
import { streamText } from "./streamText.js";

const testOptions = { timeout: 15_000 };
const path = "/v1/chat/completions";
const callerLimits = { maxBufferedBodyBytes: 2_000 };
/** For the cases in which the server times out. */
const shortTimeouts = { headersTimeoutMs: 100, requestTimeoutMs: 200 };

test("any malformed or invalid request body is refused with outcome not-run and reaches no engine", testOptions, async context => {
    const { edge, url, first, client } = await setUpEngines(context, [{}], { callerLimits });
    const bodies = fc.oneof(
        fc.uint8Array({ maxLength: 300 }).map(bytes => Buffer.from(bytes)),
        fc.json().map(text => Buffer.from(text)),
        fc.record({
            model: fc.oneof(fc.constant("pumpline-model"), fc.anything()),
            messages: fc.oneof(fc.constant([]), fc.anything()),
            max_tokens: fc.oneof(fc.constant(-1), fc.anything()),
        }, { requiredKeys: [] }).map(value =>
            Buffer.from(JSON.stringify(value, (...[, part]: [string, unknown]) => typeof part === "bigint" ? String(part) : part))
        ),
    );
    await fc.assert(
        fc.asyncProperty(bodies, async body => {
            const response = await fetch(url + path, { method: "POST", headers: edge.headers, body });
            const { error } = await response.json() as { error: { message: string; outcome: string; }; };
            expect([400, 404, 413]).toInclude(response.status);
            expect([error.outcome, response.headers.get("x-orioleshelf-outcome")]).toEqual(["not-run", "not-run"]);
        }),
        { seed: 61, numRuns: 150 },
    );
    expect(first.calls.length).toEqual(0);
    expect((await streamText(client, "still served")).length).toSatisfy(length => length > 0);
});

const rawCases: readonly { name: string; head: string; status: string; }[] = [
    {
        name: "a content-length over the body limit",
        head: `POST ${path} HTTP/1.1\r\nhost: vm\r\nauthorization: KEY\r\ncontent-length: 3000\r\n\r\n`,
        status: "413",
    },
    {
        name: "a chunked body over the body limit",
        head: `POST ${path} HTTP/1.1\r\nhost: vm\r\nauthorization: KEY\r\ntransfer-encoding: chunked\r\n\r\nbb8\r\n${"x".repeat(3000)}\r\n`,
        status: "413",
    },
    {
        name: "oversized request headers",
        head: `POST ${path} HTTP/1.1\r\nhost: vm\r\n${"x-flood: 1234567890\r\n".repeat(1_000)}`,
        status: "431",
    },
    { name: "an incomplete request head", head: `POST ${path} HTTP/1.1\r\nhost: vm\r\n`, status: "408" },
    {
        name: "an incomplete request body",
        head: `POST ${path} HTTP/1.1\r\nhost: vm\r\nauthorization: KEY\r\ncontent-length: 100\r\n\r\n{`,
        status: "408",
    },
    { name: "input that is not HTTP", head: "\u0016\u0003\u0001\u0002\r\n\r\n", status: "400" },
    {
        name: "two content-length headers",
        head: `POST ${path} HTTP/1.1\r\nhost: vm\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\nhello`,
        status: "400",
    },
    {
        name: "content-length together with chunked transfer encoding",
        head: `POST ${path} HTTP/1.1\r\nhost: vm\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n`,
        status: "400",
    },
    { name: "an unknown URL path", head: "GET /../etc HTTP/1.1\r\nhost: vm\r\n\r\n", status: "404" },
    {
        name: "an invalid percent-encoding in the service name",
        head: "GET /services/%zz/x HTTP/1.1\r\nhost: vm\r\nauthorization: KEY\r\n\r\n",
        status: "404",
    },
    {
        name: "a repeated service class header",
        head:
            "GET /services/stock/x HTTP/1.1\r\nhost: vm\r\nauthorization: KEY\r\nx-orioleshelf-class: urgent\r\nx-orioleshelf-class: urgent\r\n\r\n",
        status: "403",
    },
];

for (const { name, head, status } of rawCases) {
    test(`${name} is answered with ${status} and outcome not-run`, testOptions, async context => {
        const { edge, url } = await start(context, status === "408" ? shortTimeouts : {});
        const answer = await exchangeRaw(url, head.replaceAll("KEY", `Bearer ${edge.key}`));
        expect(answer.slice(0, 12)).toEqual(`HTTP/1.1 ${status}`);
        expect(answer.toLowerCase()).toInclude("x-orioleshelf-outcome: not-run");
        expect(answer).toInclude('"outcome":"not-run"');
    });
}

test("a caller that half-closes in mid-body is treated as gone, and the server keeps serving", testOptions, async context => {
    const { edge, url } = await start(context);
    const socket = connect(Number(new URL(url).port), "127.0.0.1");
    socket.end(`POST ${path} HTTP/1.1\r\nhost: vm\r\nauthorization: Bearer ${edge.key}\r\ncontent-length: 100\r\n\r\n{`);
    socket.resume();
    const [end] = await edge.waitForEnded(1);
    expect([end?.outcome, end?.isComplete]).toEqual(["not-run", false]);
    expect((await fetch(`${url}/healthz`)).status).toEqual(200);
});

async function start(context: TestContext, timeouts: Partial<typeof shortTimeouts> = {}): Promise<{ edge: EdgeFixture; url: string; }> {
    const edge = new EdgeFixture({ callerLimits: { ...callerLimits, ...timeouts } });
    context.after(() => {
        edge.close();
    });
    return { edge, url: await edge.start() };
}

/** Sends raw bytes on a new connection. Resolves with the answer once it holds a request id or the server closes. */
function exchangeRaw(url: string, head: string): Promise<string> {
    return new Promise(resolve => {
        const socket = connect(Number(new URL(url).port), "127.0.0.1");
        let answer = "";
        socket.on("data", bytes => {
            answer += bytes.toString("latin1");
            if (answer.includes('"request_id"')) {
                socket.destroy();
            }
        });
        socket.on("error", () => undefined);
        socket.on("close", () => {
            resolve(answer);
        });
        socket.write(head, "latin1");
    });
}
