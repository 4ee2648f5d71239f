import type { CommandContext } from "../CommandContext.js";
import { ExitCode } from "../ExitCode.js";
import { parseOptions } from "../parseOptions.js";
import { addCallRoutes } from "../quickstart/addCallRoutes.js";
import { applyExampleConfig } from "../quickstart/applyExampleConfig.js";
import { EmbeddedFleet } from "../quickstart/EmbeddedFleet.js";
import { formatExampleCalls } from "../quickstart/formatExampleCalls.js";
import { formatFleetEndpoints } from "../quickstart/formatFleetEndpoints.js";
import { sendExampleCalls } from "../quickstart/sendExampleCalls.js";
import { waitForAbort } from "../waitForAbort.js";
import { report } from "./report.js";

const usage = "orioleshelf quickstart [--hold] [--json]";

/** Runs an embedded fleet and its example job; with `--hold` the fleet stays up until SIGTERM and no job is run. */
export async function quickstart(args: readonly string[], context: CommandContext): Promise<ExitCode> {
    const options = { hold: { type: "boolean", default: false }, json: { type: "boolean", default: false } } as const;
    const { values } = parseOptions(args, options, usage);
    const fleet = await EmbeddedFleet.start();
    try {
        await applyExampleConfig(fleet);
        return values.hold ? await hold(fleet, values.json, context) : await runJob(fleet, values.json, context);
    }
    finally {
        await fleet.stop();
    }
}

async function hold(fleet: EmbeddedFleet, json: boolean, context: CommandContext): Promise<ExitCode> {
    if (json) {
        context.print(formatFleetEndpoints(fleet));
    }
    else {
        fleet.vms.forEach(vm => {
            context.print(`${vm.id}: callers ${vm.callerUrl}, operators ${vm.operatorUrl}`);
        });
        context.print("Stop with Ctrl-C.");
    }
    await waitForAbort(context.signal);
    return ExitCode.ok;
}

async function runJob(fleet: EmbeddedFleet, json: boolean, context: CommandContext): Promise<ExitCode> {
    const calls = await addCallRoutes(fleet, await sendExampleCalls(fleet.vms));
    const lines = json ? calls.map(call => JSON.stringify(call)) : formatExampleCalls(calls);
    lines.forEach(context.print);
    const environment = { ...context.environment, ORIOLESHELF_OPERATOR_TOKEN: fleet.operatorToken };
    await report(["--operator", fleet.vms[0]?.operatorUrl ?? "", ...(json ? ["--json"] : [])], { ...context, environment });
    const isWhole = calls.every(call => call.status === 200);
    return isWhole ? ExitCode.ok : ExitCode.failed;
}
