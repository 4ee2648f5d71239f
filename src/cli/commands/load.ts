import { once } from "node:events";
import { createWriteStream, readFileSync, writeFileSync } from "node:fs";
import { parse } from "yaml";
import { LoadPlan } from "../../load/LoadPlan.js";
import type { LoadRun } from "../../load/LoadRun.js";
import type { LoadRunHeader } from "../../load/LoadRunHeader.js";
import type { LoadSample } from "../../load/LoadSample.js";
import { readLoadRun } from "../../load/readLoadRun.js";
import { runLoad } from "../../load/runLoad.js";
import { readSecret } from "../../node/settings/readSecret.js";
import type { CommandContext } from "../CommandContext.js";
import { ExitCode } from "../ExitCode.js";
import { buildLoadPage } from "../load/buildLoadPage.js";
import { formatLoadRuns } from "../load/formatLoadRuns.js";
import { renderPage } from "../page/renderPage.js";
import { parseOptions } from "../parseOptions.js";
import { UsageError } from "../UsageError.js";

const usage = "orioleshelf load PLAN [--out FILE] [--html FILE] | load --compare A B [--html FILE]";
const options = {
    out: { type: "string" },
    html: { type: "string" },
    compare: { type: "boolean", default: false },
} as const;

/** Sends the open-loop load of a plan to the fleet, or compares the results of two runs. */
export async function load(args: readonly string[], context: CommandContext): Promise<ExitCode> {
    const { values, positionals } = parseOptions(args, options, usage);
    if (positionals.length !== (values.compare ? 2 : 1)) {
        throw new UsageError(`expected ${values.compare ? "two results files" : "one load plan"}; usage: ${usage}`);
    }
    const runs = values.compare ? positionals.map(readRun) : [await executePlan(positionals[0] ?? "", values.out, context)];
    formatLoadRuns(runs).forEach(context.print);
    if (values.html !== undefined) {
        writeFileSync(values.html, renderPage(buildLoadPage(runs)));
        context.print(`wrote ${values.html}`);
    }
    return context.signal.aborted ? ExitCode.failed : ExitCode.ok;
}

function readRun(file: string): LoadRun {
    return readLoadRun(file).match(run => run, message => {
        throw new UsageError(message);
    });
}

async function executePlan(planFile: string, outFile: string | undefined, context: CommandContext): Promise<LoadRun> {
    const plan = readPlan(planFile);
    const customerKeys = readCustomerKeys(plan, context);
    const head: LoadRunHeader = {
        type: "run",
        startedAtMs: Date.now(),
        durationMs: plan.durationMs,
        seed: plan.seed,
        targets: plan.targets,
    };
    const samples: LoadSample[] = [];
    const resultsStream = outFile === undefined ? undefined : createWriteStream(outFile);
    resultsStream?.write(JSON.stringify(head) + "\n");
    await runLoad({
        plan,
        customerKeys,
        signal: context.signal,
        onSample: sample => {
            samples.push(sample);
            resultsStream?.write(JSON.stringify(sample) + "\n");
        },
        onProgress: (sent, inFlight, planned) => {
            if (context.isTerminal) {
                context.printError(`${sent} of ${planned} requests sent, ${inFlight} in flight`);
            }
        },
    });
    if (resultsStream !== undefined) {
        resultsStream.end();
        await once(resultsStream, "finish");
    }
    return { name: planFile, head, samples };
}

function readPlan(file: string): LoadPlan {
    const parsed = LoadPlan.safeParse(readYaml(file));
    if (!parsed.success) {
        throw new UsageError(parsed.error.issues.map(issue => `${file}: ${issue.path.map(String).join(".")}: ${issue.message}`).join("\n"));
    }
    return parsed.data;
}

function readYaml(file: string): unknown {
    try {
        return parse(readFileSync(file, "utf8"));
    }
    catch (error) {
        throw new UsageError(`${file}: ${(error as Error).message}; expected a readable YAML file with a load plan`);
    }
}

function readCustomerKeys(plan: LoadPlan, context: CommandContext): Map<string, string> {
    return new Map(plan.streams.map(stream => {
        const key = readSecret(stream.customerKey, context.environment).match(read => read, message => {
            throw new UsageError(`stream ${stream.name}: ${message}; it must contain the customer's key`);
        });
        return [stream.name, key];
    }));
}
