import { readFileSync, writeFileSync } from "node:fs";
import { parseArgs } from "node:util";
import * as z from "zod";
import { Bound } from "./Bound.js";
import { checkBounds } from "./checkBounds.js";
import { formatTable } from "./formatTable.js";
import { measureDecisionCost } from "./measureDecisionCost.js";
import { policies } from "./policies.js";
import { runOnce } from "./runOnce.js";
import { workloads } from "./workloads.js";

/** Policies that the bounds compare; the default with --check. */
const checkedPolicies = ["round-robin", "power-of-two", "clairvoyant", "orioleshelf"];
const knownRedFile = "KNOWN-RED.txt";

const { values: args } = parseArgs({
    options: {
        seeds: { type: "string", default: "10" },
        workload: { type: "string", default: "" },
        policy: { type: "string", default: "" },
        check: { type: "boolean", default: false },
        only: { type: "string" },
        cost: { type: "boolean", default: false },
        out: { type: "string" },
    },
});

if (args.cost) {
    console.log(measureDecisionCost().map(line => JSON.stringify(line)).join("\n"));
}
else {
    process.exitCode = run();
}

/** Runs the selected workloads and policies and returns the exit code. */
function run(): number {
    const [, onlyWorkload] = args.only?.split("/") ?? [];
    const workloadNameParts = onlyWorkload === undefined
        ? args.workload.split(",")
        : [onlyWorkload, onlyWorkload.replace("-slow", "-steady")];
    const policyNames = args.policy !== "" ? args.policy.split(",") : args.check ? checkedPolicies : [...policies.keys()];
    const seeds = [...Array(Number(args.seeds)).keys()].map(index => index + 1);
    const figures = workloads
        .filter(workload => workloadNameParts.some(part => workload.name.includes(part)))
        .flatMap(workload => policyNames.flatMap(policy => seeds.map(seed => runOnce(workload, policy, seed))));
    console.log(formatTable(figures));
    if (args.out !== undefined) {
        writeFileSync(args.out, figures.map(line => JSON.stringify(line) + "\n").join(""));
    }
    return args.check ? check(figures) : 0;
}

/** Prints every bound and returns the exit code. Missed bounds listed in KNOWN-RED.txt fail the check only if selected with --only. */
function check(figures: Parameters<typeof checkBounds>[0]): number {
    const bounds = z.record(z.string(), Bound).parse(JSON.parse(readFileSync(new URL("bounds.json", import.meta.url), "utf8")));
    const checks = checkBounds(figures, bounds).filter(({ id }) => args.only === undefined || id === args.only);
    const knownRed = args.only === undefined ? readKnownRed() : "";
    let failures = 0;
    for (const { id, value, worst, limit, isMet } of checks) {
        const isKnownRed = knownRed.includes(`--only ${id} `);
        failures += isMet || isKnownRed ? 0 : 1;
        const verdict = isMet ? "met" : isKnownRed ? "KNOWN RED" : "MISSED";
        console.log(`${verdict.padEnd(10)}${id.padEnd(56)}${value.toFixed(4)} (worst seed ${worst.toFixed(4)}), bound ${limit}`);
    }
    return failures > 0 || checks.length === 0 ? 1 : 0;
}

function readKnownRed(): string {
    try {
        return readFileSync(knownRedFile, "utf8");
    }
    catch {
        return "";
    }
}
