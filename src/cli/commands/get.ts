import { stringify } from "yaml";
import { callOperator } from "../callOperator.js";
import type { CommandContext } from "../CommandContext.js";
import { connectOperator } from "../connectOperator.js";
import { ExitCode } from "../ExitCode.js";
import { operatorOptions } from "../operatorOptions.js";
import { parseOptions } from "../parseOptions.js";
import { plainObject } from "../plainObject.js";
import { readKind } from "../readKind.js";

const usage = "orioleshelf get [KIND [NAME]] [--json]";

/** Prints configuration objects, in the form that `apply` reads. */
export async function get(args: readonly string[], context: CommandContext): Promise<ExitCode> {
    const { values, positionals } = parseOptions(args, { ...operatorOptions, json: { type: "boolean", default: false } }, usage);
    const [kindText, name] = positionals;
    const kind = readKind(kindText);
    const client = connectOperator(values, context);
    return callOperator(context, async () => {
        const stored = name === undefined
            ? (await client.list({ kind }, { signal: context.signal })).stored
            : [(await client.get({ kind, name }, { signal: context.signal })).stored].filter(found => found !== undefined);
        const put = stored.map(plainObject);
        context.print(values.json ? JSON.stringify({ put }) : stringify({ put }).trimEnd());
        return ExitCode.ok;
    });
}
