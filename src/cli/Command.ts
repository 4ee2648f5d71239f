import type { CommandContext } from "./CommandContext.js";
import type { ExitCode } from "./ExitCode.js";

/** Runs one command with the arguments that follow its name; resolves with the exit code. */
export type Command = (args: readonly string[], context: CommandContext) => Promise<ExitCode>;
