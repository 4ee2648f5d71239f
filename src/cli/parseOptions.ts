import { parseArgs, type ParseArgsOptionsConfig } from "node:util";
import { UsageError } from "./UsageError.js";

/** Parses the options and positional arguments of a command; throws a `UsageError` for unknown or malformed options. */
export function parseOptions<T extends ParseArgsOptionsConfig>(args: readonly string[], options: T, usage: string) {
    try {
        return parseArgs({ args: [...args], options, allowPositionals: true, strict: true });
    }
    catch (error) {
        // `parseArgs` appends a hint about positional arguments that start with a dash; it is removed.
        throw new UsageError(`${(error as Error).message.split(". To specify")[0]}; usage: ${usage}`);
    }
}
