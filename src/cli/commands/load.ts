import type { CommandContext } from "../CommandContext.js";
import { ExitCode } from "../ExitCode.js";

/** Drives the fleet with open-loop load. */
export async function load(args: readonly string[], context: CommandContext): Promise<ExitCode> {
    context.complain(`orioleshelf load ${args.join(" ")}: this build has no load tool in it yet; use a later build`);
    return ExitCode.failed;
}
