import { writeFileSync } from "node:fs";
import { reportFromProto } from "../../node/operator/reportFromProto.js";
import type { ServiceLevelReport } from "../../schema/report/ServiceLevelReport.js";
import { callOperator } from "../callOperator.js";
import type { CommandContext } from "../CommandContext.js";
import { createOperatorClient } from "../createOperatorClient.js";
import { ExitCode } from "../ExitCode.js";
import { operatorConnectionOptions } from "../operatorConnectionOptions.js";
import { renderPage } from "../page/renderPage.js";
import { parseDuration } from "../parseDuration.js";
import { parseOptions } from "../parseOptions.js";
import { buildReportPage } from "../report/buildReportPage.js";
import { formatReport } from "../report/formatReport.js";
import { withProgress } from "../withProgress.js";

const usage = "orioleshelf report [--since 3d] [--json | --html FILE] [--check]";
const options = {
    ...operatorConnectionOptions,
    json: { type: "boolean", default: false },
    html: { type: "string" },
    check: { type: "boolean", default: false },
    since: { type: "string", default: "3d" },
} as const;

/** Reports service levels and error budget burn of the whole fleet. */
export async function report(args: readonly string[], context: CommandContext): Promise<ExitCode> {
    const { values } = parseOptions(args, options, usage);
    const sinceMs = parseDuration(values.since);
    const client = createOperatorClient(values, context);
    return callOperator(context, async () => {
        const response = client.report({ sinceMs }, { signal: context.signal });
        const answer = reportFromProto(await withProgress(context, "querying the fleet", response));
        if (values.html !== undefined) {
            writeFileSync(values.html, renderPage(buildReportPage(answer)));
            context.print(`wrote ${values.html}`);
        }
        else if (values.json) {
            context.print(JSON.stringify(answer));
        }
        else {
            formatReport(answer).forEach(context.print);
        }
        return values.check && isAlerting(answer) ? ExitCode.alert : ExitCode.ok;
    });
}

function isAlerting(answer: ServiceLevelReport): boolean {
    return answer.levels.some(level => level.alerts.some(alert => alert.firing));
}
