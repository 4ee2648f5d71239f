import { kindNames } from "../../node/operator/kindNames.js";
import type { WatchResponse } from "../../schema/generated/orioleshelf/v1/operator_pb.js";
import { callOperator } from "../callOperator.js";
import type { CommandContext } from "../CommandContext.js";
import { connectOperator } from "../connectOperator.js";
import { ExitCode } from "../ExitCode.js";
import { operatorOptions } from "../operatorOptions.js";
import { parseOptions } from "../parseOptions.js";
import { plainObject } from "../plainObject.js";
import { readKind } from "../readKind.js";

const usage = "orioleshelf watch [KIND] [--json]";

/** A VM sends at least an empty message every 15 s. */
const silenceLimitMs = 45_000;

/** Prints every object, then each change, until interrupted. */
export async function watch(args: readonly string[], context: CommandContext): Promise<ExitCode> {
    const { values, positionals } = parseOptions(args, { ...operatorOptions, json: { type: "boolean", default: false } }, usage);
    const kind = readKind(positionals[0]);
    const client = connectOperator(values, context);
    return callOperator(context, async () => {
        const silence = new AbortController();
        const timer = setTimeout(() => {
            silence.abort();
        }, silenceLimitMs);
        try {
            for await (const change of client.watch({ kind }, { signal: AbortSignal.any([context.signal, silence.signal]) })) {
                timer.refresh();
                lines(change, values.json).forEach(context.print);
            }
        }
        catch (error) {
            if (!context.signal.aborted && !silence.signal.aborted) {
                throw error;
            }
        }
        finally {
            clearTimeout(timer);
        }
        if (silence.signal.aborted) {
            context.complain("orioleshelf watch: the connection has gone silent; run watch again, on another VM if need be");
            return ExitCode.unreachable;
        }
        return ExitCode.ok;
    });
}

function lines(change: WatchResponse, isJson: boolean): string[] {
    const put = change.put.map(plainObject);
    const deleted = change.deleted.map(ref => ({ kind: kindNames.fromProto(ref.kind), name: ref.name }));
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
