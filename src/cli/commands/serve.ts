import { keepServingAfterErrors } from "../../node/fleet/keepServingAfterErrors.js";
import { startVm } from "../../node/fleet/startVm.js";
import type { VmSecrets } from "../../node/fleet/VmSecrets.js";
import { configureLogging } from "../../node/logs/configureLogging.js";
import { loadSettings } from "../../node/settings/loadSettings.js";
import { readSecret } from "../../node/settings/readSecret.js";
import { SystemScheduler } from "../../node/timers/SystemScheduler.js";
import type { Settings } from "../../schema/settings/Settings.js";
import type { CommandContext } from "../CommandContext.js";
import { ExitCode } from "../ExitCode.js";
import { formatSettingsErrors } from "../formatSettingsErrors.js";
import { parseOptions } from "../parseOptions.js";
import { UsageError } from "../UsageError.js";
import { version } from "../version.js";
import { waitForAbort } from "../waitForAbort.js";

const usage = "orioleshelf serve --settings FILE";

/** Runs one VM until SIGTERM or SIGINT, then drains it so that requests in flight can complete. */
export async function serve(args: readonly string[], context: CommandContext): Promise<ExitCode> {
    const { values } = parseOptions(args, { settings: { type: "string" } }, usage);
    const file = values.settings;
    if (file === undefined) {
        throw new UsageError(`--settings FILE is required; usage: ${usage}`);
    }
    const settings = loadSettings(file, context.environment);
    if (settings.isErr()) {
        formatSettingsErrors(file, settings.error).forEach(context.printError);
        return ExitCode.usage;
    }
    configureLogging(settings.value.logs);
    return run(settings.value, context);
}

async function run(settings: Settings, context: CommandContext): Promise<ExitCode> {
    // This signal never aborts, as an abort would close the VM without draining it.
    const started = await startVm(settings, readSecrets(settings, context), version, new AbortController().signal);
    if (started.isErr()) {
        context.printError(`orioleshelf serve: ${started.error.message}`);
        return ExitCode.failed;
    }
    const { id, availabilityZone, callerUrl, operatorUrl, peerUrl } = started.value;
    context.print(JSON.stringify({ vm: id, availabilityZone, callerUrl, operatorUrl, peerUrl }));
    const faults = new AbortController();
    const onTooMany = () => {
        faults.abort();
    };
    const end = new AbortController();
    keepServingAfterErrors({ process, clock: new SystemScheduler(), onTooMany }, end.signal);
    await waitForAbort(AbortSignal.any([context.signal, faults.signal]));
    await started.value.drain();
    end.abort();
    return faults.signal.aborted ? ExitCode.failed : ExitCode.ok;
}

/** Unwrapping is safe, as `loadSettings` has checked that both secrets can be read. */
function readSecrets(settings: Settings, context: CommandContext): VmSecrets {
    return {
        peerKey: readSecret(settings.peers.key, context.environment)._unsafeUnwrap(),
        operatorToken: readSecret(settings.operator.token, context.environment)._unsafeUnwrap(),
    };
}
