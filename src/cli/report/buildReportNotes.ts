import type { ServiceLevelReport } from "../../schema/report/ServiceLevelReport.js";

/** Builds warnings about counts that may be missing from a report. */
export function buildReportNotes(report: ServiceLevelReport): string[] {
    const notes: string[] = [];
    if (report.silentVms.length > 0) {
        notes.push(`No answer from ${report.silentVms.join(", ")}: only intervals that they had published to the log are counted.`);
    }
    if (!report.logRead) {
        notes.push(
            "The log could not be read to its end: counts of VMs that have left the fleet may be missing. Run the report again later.",
        );
    }
    return notes;
}
