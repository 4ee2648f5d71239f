import type { CommandContext } from "./CommandContext.js";
import { commandTable } from "./commandTable.js";
import { ExitCode } from "./ExitCode.js";
import { UsageError } from "./UsageError.js";
import { version } from "./version.js";

/** Runs the command named by the first of `args`; resolves with the exit code of the process. */
export async function runCli(args: readonly string[], context: CommandContext): Promise<ExitCode> {
    const [name, ...rest] = args;
    if (name === "--version") {
        context.print(version);
        return ExitCode.ok;
    }
    if (name === undefined || name === "--help" || name === "help") {
        (name === undefined ? context.printError : context.print)(formatHelp());
        return name === undefined ? ExitCode.usage : ExitCode.ok;
    }
    const command = Object.hasOwn(commandTable, name) ? commandTable[name] : undefined;
    if (command === undefined) {
        context.printError(`orioleshelf: unknown command ${name}; run orioleshelf --help for a list of commands`);
        return ExitCode.usage;
    }
    if (rest.includes("--help")) {
        context.print(`usage: orioleshelf ${command.usage}\n${command.summary}`);
        return ExitCode.ok;
    }
    try {
        return await command.run(rest, context);
    }
    catch (error) {
        context.printError(`orioleshelf ${name}: ${(error as Error).message}`);
        return error instanceof UsageError ? ExitCode.usage : ExitCode.failed;
    }
}

function formatHelp(): string {
    const nameColumnWidth = 12;
    const commands = Object.entries(commandTable).map(([name, { summary }]) => `  ${name.padEnd(nameColumnWidth)}${summary}`);
    return [
        "usage: orioleshelf COMMAND [options]",
        "",
        ...commands,
        "",
        "  COMMAND --help   print the usage of a command",
        "  --version        print the version",
        "",
        "apply, get, watch, report and explain connect to a VM's operator port at --operator URL or ORIOLESHELF_OPERATOR_URL,",
        "with the token from --token-file FILE or ORIOLESHELF_OPERATOR_TOKEN; use --ca-file FILE for a private CA.",
        "Exit codes: 0 success, 1 failure, 2 usage error or invalid file, 3 conflict, 4 pending, 5 unreachable, 6 outcome unknown, 7 alert.",
    ].join("\n");
}
