import { expect } from "earl";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, test } from "node:test";
import { startTestOperator } from "../../node/operator/testing/startTestOperator.js";
import type { ServiceLevel } from "../../schema/report/ServiceLevel.js";
import { ExitCode } from "../ExitCode.js";
import { runCli } from "../runCli.js";

const shutdown = new AbortController();
const folder = mkdtempSync(join(tmpdir(), "orioleshelf-"));
const urgent: ServiceLevel = {
    serviceClass: "urgent",
    path: "new",
    objective: 0.95,
    good: 5,
    bad: 15,
    attainment: 0.25,
    budgetLeft: -14,
    burn: [{ windowMs: 300_000, good: 5, bad: 15, burnRate: 15 }],
    alerts: [{ severity: "fast", longWindowMs: 3_600_000, shortWindowMs: 300_000, threshold: 14.4, firing: true }],
    badByReason: { shed: 15 },
    distributions: [],
    outputTokens: 10,
    wastedTokens: 0,
    points: [],
};
let operator: Awaited<ReturnType<typeof startTestOperator>>;

before(async () => {
    operator = await startTestOperator(shutdown.signal);
});

after(() => {
    shutdown.abort();
    rmSync(folder, { recursive: true });
});

async function run(args: readonly string[], signal = shutdown.signal) {
    const output: string[] = [];
    const errors: string[] = [];
    const code = await runCli(args, {
        environment: {
            ORIOLESHELF_OPERATOR_URL: operator.baseUrl,
            ORIOLESHELF_OPERATOR_TOKEN: operator.token,
            KEY: "customer-key-0123456789",
        },
        signal,
        isTerminal: false,
        print: line => {
            output.push(line);
        },
        printError: line => errors.push(line),
    });
    return { code, output: output.join("\n"), errorOutput: errors.join("\n") };
}

test("report prints a table or JSON or writes a page, and --check exits with code 7 while an alert is firing", async () => {
    expect((await run(["report", "--check"])).code).toEqual(ExitCode.ok);
    operator.levels.push(urgent);
    const table = await run(["report", "--check"]);
    expect(table.code).toEqual(ExitCode.alert);
    expect(table.output).toMatchRegex(/urgent\/new .*25\.00%.*fast 1h/);
    expect((JSON.parse((await run(["report", "--json"])).output) as { levels: ServiceLevel[]; }).levels).toEqual([urgent]);
    const page = join(folder, "report.html");
    expect((await run(["report", "--html", page])).code).toEqual(ExitCode.ok);
    expect(readFileSync(page, "utf8")).toMatchRegex(/<td>urgent \/ new<\/td>/);
    operator.levels.length = 0;
});

test("explain prints a timeline, and rejects two queries at once and an invalid duration", async () => {
    const timeline = await run(["explain", "r1"]);
    expect(timeline.output).toMatchRegex(/\+0 ms {2}nadi-1 {2}granted .*upstream=e1 position=3 isFirst=true/);
    expect((await run(["explain", "r1", "--config"])).code).toEqual(ExitCode.usage);
    expect((await run(["explain", "--class", "urgent", "--since", "5x"])).errorOutput).toMatchRegex(/5x is not a duration/);
});

test("watch exits with code 0 when it is interrupted", async () => {
    const interrupt = new AbortController();
    const watching = run(["watch"], interrupt.signal);
    while (operator.config.listenerCount === 0) {
        await new Promise(resolve => setImmediate(resolve));
    }
    interrupt.abort();
    expect((await watching).code).toEqual(ExitCode.ok);
});

test("load writes a page and results that --compare reads; --compare rejects a plan, and load rejects results as a plan", async () => {
    const server = createServer((request, response) => {
        request.resume().on("end", () => response.end('data: {"choices":[{"delta":{"content":"a"}}]}\n\ndata: [DONE]\n\n'));
    });
    await new Promise<void>(resolve => {
        server.listen(0, "127.0.0.1", resolve);
    });
    const plan = join(folder, "plan.yaml");
    writeFileSync(
        plan,
        `callers: ["http://127.0.0.1:${(server.address() as AddressInfo).port}"]
durationMs: 200
streams:
  - { kind: chat, name: short, serviceClass: urgent, customerKey: { env: KEY }, ratePerSecond: 100, model: m,
      prompt: { medianTokens: 5, p99Tokens: 9 }, answer: { medianTokens: 5, p99Tokens: 9 } }
targets: { urgent: { firstTokenMs: 60000, tokenGapMs: 60000 } }
`,
    );
    const results = join(folder, "run.jsonl");
    const page = join(folder, "load.html");
    const first = await run(["load", plan, "--out", results, "--html", page]);
    server.close();
    server.closeAllConnections();
    expect(first.code).toEqual(ExitCode.ok);
    expect(first.output).toMatchRegex(/urgent +\d+ +100\.00% +100\.00%/);
    expect(readFileSync(page, "utf8")).toMatchRegex(/<td>urgent<\/td>/);
    const compared = await run(["load", "--compare", results, results]);
    expect(compared.output.split("\n").filter(line => line.startsWith("urgent")).length).toEqual(2);
    expect((await run(["load", "--compare", plan, results])).errorOutput).toMatchRegex(/expected a file written by --out/);
    expect((await run(["load", results])).code).toEqual(ExitCode.usage);
});

test("standin prints the URL of the stand-in, stops when interrupted, and rejects an unknown kind", async () => {
    const interrupt = new AbortController();
    const lines: string[] = [];
    const running = runCli(["standin", "service", "--name", "jobs"], {
        environment: {},
        signal: interrupt.signal,
        isTerminal: false,
        print: line => {
            lines.push(line);
        },
        printError: () => undefined,
    });
    while (lines.length === 0) {
        await new Promise(resolve => setImmediate(resolve));
    }
    const { url } = JSON.parse(lines[0] ?? "") as { url: string; };
    expect(await (await fetch(`${url}/_standin/calls`)).json()).toEqual([]);
    interrupt.abort();
    expect(await running).toEqual(ExitCode.ok);
    expect((await run(["standin", "nothing"])).errorOutput).toMatchRegex(/expected one of engine, service/);
});
