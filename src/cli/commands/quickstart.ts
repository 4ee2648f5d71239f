import type { CommandContext } from "../CommandContext.js";
import { ExitCode } from "../ExitCode.js";

/** Runs an embedded fleet and its example job. */
export async function quickstart(args: readonly string[], context: CommandContext): Promise<ExitCode> {
    context.complain(`orioleshelf quickstart ${args.join(" ")}: this build has no fleet in it yet; use a later build`);
    return ExitCode.failed;
}
