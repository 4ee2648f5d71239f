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
    const errors: string[] = [];
    const code = await runCli(args, {
        environment: { ORIOLESHELF_OPERATOR_URL: operator.baseUrl, ORIOLESHELF_OPERATOR_TOKEN: operator.token, ...environment },
        signal: shutdown.signal,
        isTerminal: false,
        print: line => output.push(line),
        printError: line => errors.push(line),
    });
    return { code, output: output.join("\n"), errorOutput: errors.join("\n") };
}

function writeTestFile(name: string, text: string): string {
    const path = join(folder, name);
    writeFileSync(path, text);
    return path;
}

const changeYaml = `put:
  - kind: serviceClass
    value: { name: urgent, tier: 0, firstTokenTargetMs: 450, tokenGapTargetMs: 35 }
`;

test("apply accepts the output of get, and reports a conflict when the objects have changed since", async () => {
    expect((await run(["apply", writeTestFile("change.yaml", changeYaml), "--json"])).output).toEqual(
        '{"status":"accepted","offset":0,"pendingZones":[]}',
    );
    const got = await run(["get", "serviceClass", "urgent"]);
    const copy = writeTestFile("copy.yaml", got.output);
    expect((await run(["apply", copy])).code).toEqual(ExitCode.ok);
    const stale = await run(["apply", copy]);
    expect(stale.code).toEqual(ExitCode.conflict);
    expect(stale.errorOutput).toMatchRegex(/read the objects again/);
});

test("an invalid change file prints each error with its path and exits with code 2", async () => {
    const { code, errorOutput } = await run(["apply", writeTestFile("faults.yaml", "put:\n  - kind: pool\n    value: {}\ndelet: []\n")]);
    expect(code).toEqual(ExitCode.usage);
    expect(errorOutput).toMatchRegex(/put\.0\.value\.name/);
    expect(errorOutput).toMatchRegex(/delet/);
});

test("a pending change exits with code 4, an unreachable VM or a rejected token with code 5", async () => {
    operator.config.pendingZones = ["ba"];
    const pending = await run(["apply", writeTestFile("change.yaml", changeYaml)]);
    operator.config.pendingZones = [];
    expect(pending.code).toEqual(ExitCode.pending);
    expect(pending.output).toMatchRegex(/not confirmed yet by ba/);
    expect((await run(["get"], { ORIOLESHELF_OPERATOR_URL: "http://127.0.0.1:1" })).code).toEqual(ExitCode.unreachable);
    expect((await run(["get"], { ORIOLESHELF_OPERATOR_TOKEN: "a-wrong-operator-token" })).code).toEqual(ExitCode.unreachable);
});

test("invalid arguments print an error and exit with code 2", async () => {
    for (
        const args of [[], ["nothing"], ["apply"], ["get", "colour"], ["check"], ["explain"], ["get", "--colour"], [
            "report",
            "--since",
            "x",
        ], ["constructor"]]
    ) {
        const { code, errorOutput } = await run(args);
        expect([args, code]).toEqual([args, ExitCode.usage]);
        expect(errorOutput.length > 0).toEqual(true);
    }
    expect((await run(["get"], { ORIOLESHELF_OPERATOR_URL: "" })).errorOutput).toMatchRegex(/--operator URL/);
});

test("check prints the effective settings or the errors, without secret values", async () => {
    const settings = `vm: { id: a, availabilityZone: z, region: r }
listen: { caller: { port: 1 }, operator: { port: 2 }, peer: { port: 3 } }
peers: { key: { env: PEER_KEY } }
operator: { token: { env: OPERATOR_TOKEN } }
platform: { log: { url: http://a }, vmList: { url: http://a }, weightStore: { url: http://a } }
`;
    const secrets = { PEER_KEY: "peer-key-0123456789", OPERATOR_TOKEN: "operator-0123456789" };
    const good = await run(["check", writeTestFile("settings.yaml", settings)], secrets);
    expect(good.code).toEqual(ExitCode.ok);
    expect(good.output).toMatchRegex(/upstreamGapMs: 10000/);
    expect(/0123456789/.test(good.output + good.errorOutput)).toEqual(false);
    const bad = await run(["check", writeTestFile("settings.yaml", settings), "--json"], { PEER_KEY: "short" });
    expect(bad.code).toEqual(ExitCode.usage);
    expect((JSON.parse(bad.output) as { errors: { path: string; }[]; }).errors.map(error => error.path)).toEqual([
        "peers.key",
        "operator.token",
    ]);
});

test("help and version are printed to standard output", async () => {
    expect((await run(["--help"])).output).toMatchRegex(/serve/);
    expect((await run(["--version"])).output).toMatchRegex(/^\d+\.\d+\.\d+$/);
    expect((await run(["apply", "--help"])).output).toMatchRegex(/--dry-run/);
});
