import type { CommandContext } from "./CommandContext.js";
import { commandTable } from "./commandTable.js";
import { ExitCode } from "./ExitCode.js";
import { UsageError } from "./UsageError.js";
import { version } from "./version.js";

/** Runs the command that `args` name and resolves with the exit code of the process. */
export async function runCli(args: readonly string[], context: CommandContext): Promise<ExitCode> {
    const [name, ...rest] = args;
    if (name === "--version") {
        context.print(version);
        return ExitCode.ok;
    }
    if (name === undefined || name === "--help" || name === "help") {
        (name === undefined ? context.printError : context.print)(help());
        return name === undefined ? ExitCode.usage : ExitCode.ok;
    }
    const command = Object.hasOwn(commandTable, name) ? commandTable[name] : undefined;
    if (command === undefined) {
        context.printError(`orioleshelf: there is no command ${name}; run orioleshelf --help for the list`);
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

function help(): string {
    const width = 12;
    const commands = Object.entries(commandTable).map(([name, { summary }]) => `  ${name.padEnd(width)}${summary}`);
    return [
        "usage: orioleshelf COMMAND [options]",
        "",
        ...commands,
        "",
        "  COMMAND --help   usage of one command",
        "  --version        version of this program",
        "",
        "apply, get, watch, report and explain reach a VM's operator port by --operator URL or ORIOLESHELF_OPERATOR_URL,",
        "with the token in --token-file FILE or ORIOLESHELF_OPERATOR_TOKEN, and --ca-file FILE for a private certificate.",
        "Exit codes: 0 done, 1 failed, 2 usage or faults in a file, 3 conflict, 4 pending, 5 unreachable, 6 outcome unknown, 7 alert.",
    ].join("\n");
}
