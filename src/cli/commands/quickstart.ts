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

/** Runs an embedded fleet and sends example calls; with `--hold`, sends no calls and keeps the fleet running until SIGINT or SIGTERM. */
export async function quickstart(args: readonly string[], context: CommandContext): Promise<ExitCode> {
    const options = { hold: { type: "boolean", default: false }, json: { type: "boolean", default: false } } as const;
    const { values } = parseOptions(args, options, usage);
    const fleet = await EmbeddedFleet.start();
    try {
        await applyExampleConfig(fleet);
        return values.hold ? await keepRunning(fleet, values.json, context) : await runExampleCalls(fleet, values.json, context);
    }
    finally {
        await fleet.stop();
    }
}

async function keepRunning(fleet: EmbeddedFleet, isJson: boolean, context: CommandContext): Promise<ExitCode> {
    if (isJson) {
        context.print(formatFleetEndpoints(fleet));
    }
    else {
        fleet.vms.forEach(vm => {
            context.print(`${vm.id}: caller URL ${vm.callerUrl}, operator URL ${vm.operatorUrl}`);
        });
        context.print("Press Ctrl-C to stop.");
    }
    await waitForAbort(context.signal);
    return ExitCode.ok;
}

async function runExampleCalls(fleet: EmbeddedFleet, isJson: boolean, context: CommandContext): Promise<ExitCode> {
    const calls = await addCallRoutes(fleet, await sendExampleCalls(fleet.vms));
    const lines = isJson ? calls.map(call => JSON.stringify(call)) : formatExampleCalls(calls);
    lines.forEach(context.print);
    const environment = { ...context.environment, ORIOLESHELF_OPERATOR_TOKEN: fleet.operatorToken };
    await report(["--operator", fleet.vms[0]?.operatorUrl ?? "", ...(isJson ? ["--json"] : [])], { ...context, environment });
    const isSuccessful = calls.every(call => call.status === 200);
    return isSuccessful ? ExitCode.ok : ExitCode.failed;
}
