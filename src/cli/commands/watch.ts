import { kindConversion } from "../../node/operator/kindConversion.js";
import type { WatchResponse } from "../../schema/generated/orioleshelf/v1/operator_pb.js";
import { callOperator } from "../callOperator.js";
import type { CommandContext } from "../CommandContext.js";
import { createOperatorClient } from "../createOperatorClient.js";
import { ExitCode } from "../ExitCode.js";
import { operatorConnectionOptions } from "../operatorConnectionOptions.js";
import { parseKind } from "../parseKind.js";
import { parseOptions } from "../parseOptions.js";
import { toChangeFileEntry } from "../toChangeFileEntry.js";

const usage = "orioleshelf watch [KIND] [--json]";

/** A VM sends a heartbeat (an empty message) if nothing has changed for 15 s; this timeout allows for three heartbeat intervals. */
const messageTimeoutMs = 45_000;

/** Prints every object and then each change, until interrupted. */
export async function watch(args: readonly string[], context: CommandContext): Promise<ExitCode> {
    const { values, positionals } = parseOptions(args, { ...operatorConnectionOptions, json: { type: "boolean", default: false } }, usage);
    const kind = parseKind(positionals[0]);
    const client = createOperatorClient(values, context);
    return callOperator(context, async () => {
        const messageTimeoutController = new AbortController();
        const timer = setTimeout(() => {
            messageTimeoutController.abort();
        }, messageTimeoutMs);
        try {
            for await (
                const change of client.watch({ kind }, { signal: AbortSignal.any([context.signal, messageTimeoutController.signal]) })
            ) {
                timer.refresh();
                formatChange(change, values.json).forEach(context.print);
            }
        }
        catch (error) {
            if (!context.signal.aborted && !messageTimeoutController.signal.aborted) {
                throw error;
            }
        }
        finally {
            clearTimeout(timer);
        }
        if (messageTimeoutController.signal.aborted) {
            context.printError("orioleshelf watch: the VM has stopped sending messages; run watch again, on another VM if necessary");
            return ExitCode.unreachable;
        }
        return ExitCode.ok;
    });
}

function formatChange(change: WatchResponse, isJson: boolean): string[] {
    const put = change.put.map(toChangeFileEntry);
    const deleted = change.deleted.map(ref => ({ kind: kindConversion.fromProto(ref.kind), name: ref.name }));
    if (put.length + deleted.length === 0) {
        return [];
    }
    if (isJson) {
        return [JSON.stringify({ configOffset: Number(change.configOffset), put, deleted })];
    }
    return [
        ...put.map(({ kind, value }) => `${change.configOffset} put ${String(kind)} ${JSON.stringify(value)}`),
        ...deleted.map(({ kind, name }) => `${change.configOffset} delete ${String(kind)} ${name}`),
    ];
}
