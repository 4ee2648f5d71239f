import type { ServiceLevelReport } from "../../schema/report/ServiceLevelReport.js";

/** Aggregates service levels across the fleet. The report lists the VMs that did not reply. */
export interface ReportService {
    /** `sinceMs` is the length of the reported period, which ends now. */
    report(sinceMs: number, signal: AbortSignal): Promise<ServiceLevelReport>;
}
