import type { MessageInitShape } from "@bufbuild/protobuf";
import { explanationFromProto } from "../../node/operator/explanationFromProto.js";
import type { ExplainRequestSchema } from "../../schema/generated/orioleshelf/v1/operator_pb.js";
import { callOperator } from "../callOperator.js";
import type { CommandContext } from "../CommandContext.js";
import { createOperatorClient } from "../createOperatorClient.js";
import { ExitCode } from "../ExitCode.js";
import { formatExplanation } from "../explain/formatExplanation.js";
import { operatorConnectionOptions } from "../operatorConnectionOptions.js";
import { parseDuration } from "../parseDuration.js";
import { parseOptions } from "../parseOptions.js";
import { UsageError } from "../UsageError.js";
import { withProgress } from "../withProgress.js";

const usage = "orioleshelf explain REQUEST_ID | --class CLASS [--since 1h] | --vm VM | --config  [--json]";
const options = {
    ...operatorConnectionOptions,
    json: { type: "boolean", default: false },
    class: { type: "string" },
    since: { type: "string", default: "1h" },
    vm: { type: "string" },
    config: { type: "boolean", default: false },
} as const;

/** Prints the decisions about one request, class, VM or the configuration. */
export async function explain(args: readonly string[], context: CommandContext): Promise<ExitCode> {
    const { values, positionals } = parseOptions(args, options, usage);
    const queries: NonNullable<MessageInitShape<typeof ExplainRequestSchema>["query"]>[] = [];
    queries.push(...positionals.map(requestId => ({ case: "requestId" as const, value: requestId })));
    if (values.class !== undefined) {
        queries.push({ case: "serviceClass", value: { name: values.class, sinceMs: parseDuration(values.since) } });
    }
    if (values.vm !== undefined) {
        queries.push({ case: "vm", value: values.vm });
    }
    if (values.config) {
        queries.push({ case: "config", value: {} });
    }
    const [query] = queries;
    if (query === undefined || queries.length > 1) {
        throw new UsageError(`specify exactly one of REQUEST_ID, --class, --vm and --config; usage: ${usage}`);
    }
    const client = createOperatorClient(values, context);
    return callOperator(context, async () => {
        const response = client.explain({ query }, { signal: context.signal });
        const answer = explanationFromProto(await withProgress(context, "querying the fleet", response));
        (values.json ? [JSON.stringify(answer)] : formatExplanation(answer, values.class !== undefined)).forEach(context.print);
        return ExitCode.ok;
    });
}
