import type { CommandContext } from "../CommandContext.js";
import { ExitCode } from "../ExitCode.js";

/** Runs one stand-in until SIGTERM. */
export async function standin(args: readonly string[], context: CommandContext): Promise<ExitCode> {
    context.complain(`orioleshelf standin ${args.join(" ")}: this build has no stand-ins in it yet; use a later build`);
    return ExitCode.failed;
}
