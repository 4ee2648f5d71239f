import type { ServiceLevelReport } from "../../schema/report/ServiceLevelReport.js";

/** Sums service levels over the fleet. VMs that do not answer are named in the report. */
export interface ReportService {
    report(sinceMs: number, signal: AbortSignal): Promise<ServiceLevelReport>;
}
