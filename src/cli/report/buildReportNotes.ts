import type { ServiceLevelReport } from "../../schema/report/ServiceLevelReport.js";

/** What a reader must know about the counts of a report before trusting them. */
export function buildReportNotes(report: ServiceLevelReport): string[] {
    const notes: string[] = [];
    if (report.silentVms.length > 0) {
        notes.push(`No answer from ${report.silentVms.join(", ")}: counted only as far as published on the log.`);
    }
    if (!report.logRead) {
        notes.push("The log could not be read to its end: counts of VMs that are gone may be missing. Ask again later.");
    }
    return notes;
}
