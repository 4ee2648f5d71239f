import { type ApplyResponse, ApplyStatus } from "../../schema/generated/orioleshelf/v1/operator_pb.js";
import { callOperator } from "../callOperator.js";
import type { CommandContext } from "../CommandContext.js";
import { createOperatorClient } from "../createOperatorClient.js";
import { ExitCode } from "../ExitCode.js";
import { operatorConnectionOptions } from "../operatorConnectionOptions.js";
import { parseOptions } from "../parseOptions.js";
import { readChangeFile } from "../readChangeFile.js";
import { UsageError } from "../UsageError.js";

const usage = "orioleshelf apply FILE [--dry-run] [--wait-ms N] [--author NAME] [--json]";
const options = {
    ...operatorConnectionOptions,
    json: { type: "boolean", default: false },
    "dry-run": { type: "boolean", default: false },
    "wait-ms": { type: "string" },
    author: { type: "string" },
} as const;

/** Applies the changes of a YAML file as one atomic change. */
export async function apply(args: readonly string[], context: CommandContext): Promise<ExitCode> {
    const { values, positionals } = parseOptions(args, options, usage);
    const [file] = positionals;
    if (file === undefined || positionals.length > 1) {
        throw new UsageError(`expected exactly one change file; usage: ${usage}`);
    }
    const waitMs = values["wait-ms"] === undefined ? undefined : parseWaitMs(values["wait-ms"]);
    const operations = readChangeFile(file).match(read => read, errors => {
        throw new UsageError(errors.join("\n"));
    });
    const client = createOperatorClient(values, context);
    return callOperator(context, async () => {
        const author = values.author ?? context.environment["USER"] ?? "unknown";
        const request = { author, operations, dryRun: values["dry-run"], ...waitMs === undefined ? {} : { waitMs } };
        const answer = await client.apply(request, { signal: context.signal });
        context.print(values.json ? formatJson(answer) : formatStatusLine(answer, operations.length));
        return answer.status === ApplyStatus.PENDING ? ExitCode.pending : ExitCode.ok;
    });
}

function parseWaitMs(text: string): number {
    const waitMs = Number(text);
    if (!Number.isInteger(waitMs) || waitMs < 0) {
        throw new UsageError(`--wait-ms ${text} is not a non-negative integer number of milliseconds`);
    }
    return waitMs;
}

function formatJson(answer: ApplyResponse): string {
    return JSON.stringify({
        status: ApplyStatus[answer.status].toLowerCase(),
        offset: Number(answer.offset),
        pendingZones: answer.pendingZones,
    });
}

function formatStatusLine(answer: ApplyResponse, changeCount: number): string {
    switch (answer.status) {
        case ApplyStatus.ACCEPTED:
            return `accepted: ${changeCount} changes are in force in every live availability zone, revision ${answer.offset}`;
        case ApplyStatus.CHECKED:
            return `checked: the ${changeCount} changes are valid at revision ${answer.offset}`;
        default:
            return `pending: published as revision ${answer.offset}; not confirmed yet by ${answer.pendingZones.join(", ")}`;
    }
}
