import type { Scheduler } from "../../core/util/Scheduler.js";
import type { ConfigService } from "../services/ConfigService.js";
import type { ExplainService } from "../services/ExplainService.js";
import type { MembershipService } from "../services/MembershipService.js";
import type { MetricsSource } from "../services/MetricsSource.js";
import type { ReportService } from "../services/ReportService.js";

/** What the operator RPC needs of the VM that serves it. */
export interface OperatorServerOptions {
    readonly vm: string;
    readonly availabilityZone: string;
    readonly version: string;
    /** Bearer token that callers must send. */
    readonly token: string;
    readonly config: ConfigService;
    readonly membership: MembershipService;
    readonly report: ReportService;
    readonly explain: ExplainService;
    /** Served at `/metrics`. */
    readonly metrics: MetricsSource;
    /** Served at `/readyz`. */
    readonly isReady: () => boolean;
    readonly scheduler: Scheduler;
}
