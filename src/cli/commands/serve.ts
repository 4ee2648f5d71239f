import { loadSettings } from "../../node/settings/loadSettings.js";
import type { CommandContext } from "../CommandContext.js";
import { ExitCode } from "../ExitCode.js";
import { parseOptions } from "../parseOptions.js";
import { settingsErrorLines } from "../settingsErrorLines.js";
import { UsageError } from "../UsageError.js";

const usage = "orioleshelf serve --settings FILE";

/** Runs one VM until SIGTERM. */
export async function serve(args: readonly string[], context: CommandContext): Promise<ExitCode> {
    const { values } = parseOptions(args, { settings: { type: "string" } }, usage);
    const file = values.settings;
    if (file === undefined) {
        throw new UsageError(`give the settings file; usage: ${usage}`);
    }
    return loadSettings(file, context.environment).match(
        () => {
            context.complain("orioleshelf serve: this build has no fleet in it yet; use a later build");
            return ExitCode.failed;
        },
        errors => {
            settingsErrorLines(file, errors).forEach(context.complain);
            return ExitCode.usage;
        },
    );
}
