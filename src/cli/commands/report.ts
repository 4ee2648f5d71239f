import { toJsonString } from "@bufbuild/protobuf";
import { ReportResponseSchema } from "../../schema/generated/orioleshelf/v1/operator_pb.js";
import { callOperator } from "../callOperator.js";
import type { CommandContext } from "../CommandContext.js";
import { connectOperator } from "../connectOperator.js";
import { ExitCode } from "../ExitCode.js";
import { operatorOptions } from "../operatorOptions.js";
import { parseOptions } from "../parseOptions.js";
import { readDuration } from "../readDuration.js";

const usage = "orioleshelf report [--since 3d] [--json]";
const options = {
    ...operatorOptions,
    json: { type: "boolean", default: false },
    since: { type: "string", default: "3d" },
} as const;

/** Reports service levels and burn of the whole fleet. */
export async function report(args: readonly string[], context: CommandContext): Promise<ExitCode> {
    const { values } = parseOptions(args, options, usage);
    const sinceMs = readDuration(values.since);
    const client = connectOperator(values, context);
    return callOperator(context, async () => {
        const answer = await client.report({ sinceMs }, { signal: context.signal });
        context.print(toJsonString(ReportResponseSchema, answer));
        return ExitCode.ok;
    });
}
