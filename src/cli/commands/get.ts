import { stringify } from "yaml";
import { callOperator } from "../callOperator.js";
import type { CommandContext } from "../CommandContext.js";
import { createOperatorClient } from "../createOperatorClient.js";
import { ExitCode } from "../ExitCode.js";
import { operatorConnectionOptions } from "../operatorConnectionOptions.js";
import { parseKind } from "../parseKind.js";
import { parseOptions } from "../parseOptions.js";
import { toChangeFileEntry } from "../toChangeFileEntry.js";

const usage = "orioleshelf get [KIND [NAME]] [--json]";

/** Prints configuration objects in the format that `apply` reads. */
export async function get(args: readonly string[], context: CommandContext): Promise<ExitCode> {
    const { values, positionals } = parseOptions(args, { ...operatorConnectionOptions, json: { type: "boolean", default: false } }, usage);
    const [kindText, name] = positionals;
    const kind = parseKind(kindText);
    const client = createOperatorClient(values, context);
    return callOperator(context, async () => {
        const stored = name === undefined
            ? (await client.list({ kind }, { signal: context.signal })).stored
            : [(await client.get({ kind, name }, { signal: context.signal })).stored].filter(found => found !== undefined);
        const put = stored.map(toChangeFileEntry);
        context.print(values.json ? JSON.stringify({ put }) : stringify({ put }).trimEnd());
        return ExitCode.ok;
    });
}
