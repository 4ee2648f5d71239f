import { stringify } from "yaml";
import { loadSettings } from "../../node/settings/loadSettings.js";
import type { CommandContext } from "../CommandContext.js";
import { ExitCode } from "../ExitCode.js";
import { formatSettingsErrors } from "../formatSettingsErrors.js";
import { parseOptions } from "../parseOptions.js";
import { UsageError } from "../UsageError.js";

const usage = "orioleshelf check FILE [--json]";

/** Validates a settings file; prints the effective settings, or every error. */
export async function check(args: readonly string[], context: CommandContext): Promise<ExitCode> {
    const { values, positionals } = parseOptions(args, { json: { type: "boolean", default: false } }, usage);
    const [file] = positionals;
    if (file === undefined || positionals.length > 1) {
        throw new UsageError(`expected exactly one settings file; usage: ${usage}`);
    }
    return loadSettings(file, context.environment).match(
        settings => {
            context.print(values.json ? JSON.stringify({ ok: true, settings }) : stringify(settings).trimEnd());
            return ExitCode.ok;
        },
        errors => {
            if (values.json) {
                context.print(JSON.stringify({ ok: false, errors: [...errors] }));
            }
            formatSettingsErrors(file, errors).forEach(context.printError);
            return ExitCode.usage;
        },
    );
}
