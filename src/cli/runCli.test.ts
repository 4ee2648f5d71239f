import { expect } from "earl";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, test } from "node:test";
import { startTestOperator } from "../node/operator/testing/startTestOperator.js";
import { ExitCode } from "./ExitCode.js";
import { runCli } from "./runCli.js";

const shutdown = new AbortController();
const folder = mkdtempSync(join(tmpdir(), "orioleshelf-"));
let operator: Awaited<ReturnType<typeof startTestOperator>>;

before(async () => {
    operator = await startTestOperator(shutdown.signal);
});

after(() => {
    shutdown.abort();
    rmSync(folder, { recursive: true });
});

async function run(args: readonly string[], environment: Record<string, string> = {}) {
    const output: string[] = [];
    const complaints: string[] = [];
    const code = await runCli(args, {
        environment: { ORIOLESHELF_OPERATOR_URL: operator.baseUrl, ORIOLESHELF_OPERATOR_TOKEN: operator.token, ...environment },
        signal: shutdown.signal,
        isTerminal: false,
        print: line => output.push(line),
        printError: line => complaints.push(line),
    });
    return { code, output: output.join("\n"), complaints: complaints.join("\n") };
}

function file(name: string, text: string): string {
    const path = join(folder, name);
    writeFileSync(path, text);
    return path;
}

const change = `put:
  - kind: serviceClass
    value: { name: urgent, tier: 0, firstTokenTargetMs: 450, tokenGapTargetMs: 35 }
`;

test("what get prints, apply takes; a stale copy is a conflict", async () => {
    expect((await run(["apply", file("change.yaml", change), "--json"])).output).toEqual(
        '{"status":"accepted","offset":0,"pendingZones":[]}',
    );
    const got = await run(["get", "serviceClass", "urgent"]);
    const copy = file("copy.yaml", got.output);
    expect((await run(["apply", copy])).code).toEqual(ExitCode.ok);
    const stale = await run(["apply", copy]);
    expect(stale.code).toEqual(ExitCode.conflict);
    expect(stale.complaints).toMatchRegex(/read the objects again/);
});

test("faults of a change file are told with their place and nothing is sent", async () => {
    const { code, complaints } = await run(["apply", file("faults.yaml", "put:\n  - kind: pool\n    value: {}\ndelet: []\n")]);
    expect(code).toEqual(ExitCode.usage);
    expect(complaints).toMatchRegex(/put\.0\.value\.name/);
    expect(complaints).toMatchRegex(/delet/);
});

test("pending and unreachable have exit codes of their own", async () => {
    operator.config.pendingZones = ["ba"];
    const pending = await run(["apply", file("change.yaml", change)]);
    operator.config.pendingZones = [];
    expect(pending.code).toEqual(ExitCode.pending);
    expect(pending.output).toMatchRegex(/not confirmed yet by ba/);
    expect((await run(["get"], { ORIOLESHELF_OPERATOR_URL: "http://127.0.0.1:1" })).code).toEqual(ExitCode.unreachable);
    expect((await run(["get"], { ORIOLESHELF_OPERATOR_TOKEN: "a-wrong-operator-token" })).code).toEqual(ExitCode.unreachable);
});

test("wrong usage names the remedy", async () => {
    for (
        const args of [[], ["nothing"], ["apply"], ["get", "colour"], ["check"], ["explain"], ["get", "--colour"], [
            "report",
            "--since",
            "x",
        ], ["constructor"]]
    ) {
        const { code, complaints } = await run(args);
        expect([args, code]).toEqual([args, ExitCode.usage]);
        expect(complaints.length > 0).toEqual(true);
    }
    expect((await run(["get"], { ORIOLESHELF_OPERATOR_URL: "" })).complaints).toMatchRegex(/--operator URL/);
});

test("check prints the effective settings, never a secret", async () => {
    const settings = `vm: { id: a, availabilityZone: z, region: r }
listen: { caller: { port: 1 }, operator: { port: 2 }, peer: { port: 3 } }
peers: { key: { env: PEER_KEY } }
operator: { token: { env: OPERATOR_TOKEN } }
platform: { log: { url: http://a }, vmList: { url: http://a }, weightStore: { url: http://a } }
`;
    const secrets = { PEER_KEY: "peer-key-0123456789", OPERATOR_TOKEN: "operator-0123456789" };
    const good = await run(["check", file("settings.yaml", settings)], secrets);
    expect(good.code).toEqual(ExitCode.ok);
    expect(good.output).toMatchRegex(/upstreamGapMs: 10000/);
    expect(/0123456789/.test(good.output + good.complaints)).toEqual(false);
    const bad = await run(["check", file("settings.yaml", settings), "--json"], { PEER_KEY: "short" });
    expect(bad.code).toEqual(ExitCode.usage);
    expect((JSON.parse(bad.output) as { errors: { path: string; }[]; }).errors.map(error => error.path)).toEqual([
        "peers.key",
        "operator.token",
    ]);
});

test("help and version go to standard output", async () => {
    expect((await run(["--help"])).output).toMatchRegex(/serve/);
    expect((await run(["--version"])).output).toMatchRegex(/^\d+\.\d+\.\d+$/);
    expect((await run(["apply", "--help"])).output).toMatchRegex(/--dry-run/);
});
