import type { Scheduler } from "../../core/util/Scheduler.js";
import type { ConfigService } from "../services/ConfigService.js";
import type { ExplainService } from "../services/ExplainService.js";
import type { MembershipService } from "../services/MembershipService.js";
import type { MetricsSource } from "../services/MetricsSource.js";
import type { ReportService } from "../services/ReportService.js";

/** Identity and services of the VM that an operator server exposes. */
export interface OperatorServerOptions {
    readonly vm: string;
    readonly availabilityZone: string;
    readonly version: string;
    /** Bearer token required on every RPC. */
    readonly token: string;
    readonly config: ConfigService;
    readonly membership: MembershipService;
    readonly report: ReportService;
    readonly explain: ExplainService;
    /** Source of the metrics at `/metrics`. */
    readonly metrics: MetricsSource;
    /** Readiness reported at `/readyz`. */
    readonly isReady: () => boolean;
    readonly scheduler: Scheduler;
}
