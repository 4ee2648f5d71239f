import type { CommandContext } from "./CommandContext.js";
import type { ExitCode } from "./ExitCode.js";

/** Runs one command with the arguments after its name. */
export type Command = (args: readonly string[], context: CommandContext) => Promise<ExitCode>;
