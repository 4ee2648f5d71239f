import { parseArgs } from "node:util";
import bounds from "./bounds.json" with { type: "json" };
import { measureCancel } from "./measureCancel.js";
import { measureFirstTokens } from "./measureFirstTokens.js";
import { measureRelay } from "./measureRelay.js";
import { measureStreamMemory } from "./measureStreamMemory.js";

/** `npm run bench:path`: added time to first token, cancellation delay, relayed tokens per second and memory per stream. */
const { values } = parseArgs({
    options: {
        check: { type: "boolean", default: false },
        only: { type: "string" },
        seconds: { type: "string", default: "10" },
    },
});
const durationMs = Number(values.seconds) * 1000;
const violations: string[] = [];

if (values.only === undefined || values.only === "first-token") {
    const result = await measureFirstTokens(durationMs);
    print("first-token", result);
    atMost("added time to first token, p50, ms", result.addedP50Ms, bounds.maxAddedFirstTokenP50Ms);
    atMost("added time to first token, p99, ms", result.addedP99Ms, bounds.maxAddedFirstTokenP99Ms);
    atMost("failed streams", result.failures, 0);
}
if (values.only === undefined || values.only === "cancel") {
    const result = await measureCancel();
    print("cancel", result);
    atMost("time until the engine stops after its caller left, ms", result.maxMs, bounds.maxCancelMs);
}
if (values.only === undefined || values.only === "relay") {
    const result = await measureRelay(durationMs);
    print("relay", result);
    atLeast("tokens a second", result.tokensPerSecond, bounds.minTokensPerSecond);
    atLeast("open streams", result.openStreams, bounds.minOpenStreams);
    atMost("memory, MiB", result.maxRssMebibytes, bounds.maxRssMebibytes);
}
if (values.only === undefined || values.only === "memory") {
    print("memory", await measureStreamMemory());
}
for (const violation of violations) {
    console.error(violation);
}
process.exitCode = values.check && violations.length > 0 ? 1 : 0;

function print(measure: string, result: object): void {
    console.log(JSON.stringify({ measure, ...result }, (...[, value]: [string, unknown]) => round(value)));
}

function round(value: unknown): unknown {
    return typeof value === "number" ? Math.round(value * 1000) / 1000 : value;
}

function atMost(name: string, value: number, bound: number): void {
    if (!(value <= bound)) {
        violations.push(`${name}: ${value.toFixed(2)} exceeds the bound of ${bound}`);
    }
}

function atLeast(name: string, value: number, bound: number): void {
    if (!(value >= bound)) {
        violations.push(`${name}: ${value.toFixed(0)} is below the bound of ${bound}`);
    }
}
