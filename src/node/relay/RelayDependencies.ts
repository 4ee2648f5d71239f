import type { RunEvidence } from "../../core/duties/RunEvidence.js";
import type { Placement } from "../../core/relay/Placement.js";
import type { PlacementRefusal } from "../../core/relay/PlacementRefusal.js";
import type { PlacementRequest } from "../../core/relay/PlacementRequest.js";
import type { RouteTable } from "../../core/relay/RouteTable.js";
import type { UpstreamAvailability } from "../../core/relay/UpstreamAvailability.js";
import type { UpstreamDirectory } from "../../core/relay/UpstreamDirectory.js";
import type { UpstreamHealth } from "../../core/relay/UpstreamHealth.js";
import type { UpstreamLoadTracker } from "../../core/relay/UpstreamLoadTracker.js";
import type { HedgePolicy } from "../../core/retry/HedgePolicy.js";
import type { HedgeResult } from "../../core/retry/HedgeResult.js";
import type { RetryBudget } from "../../core/retry/RetryBudget.js";
import type { Scheduler } from "../../core/util/Scheduler.js";
import type { RequestObserver } from "../services/RequestObserver.js";
import type { UpstreamConnections } from "../upstream/UpstreamConnections.js";
import type { PromptPartGuard } from "./PromptPartGuard.js";
import type { RelayDialect } from "./RelayDialect.js";

type PlacementDecision = Placement | PlacementRefusal | undefined;

/** Services and state that relaying a call depends on. */
export interface RelayDependencies {
    readonly dialect: RelayDialect;
    readonly scheduler: Scheduler;
    readonly directory: UpstreamDirectory;
    readonly loadTracker: UpstreamLoadTracker;
    readonly health: UpstreamHealth;
    readonly availability: UpstreamAvailability;
    readonly partGuard: PromptPartGuard;
    readonly connections: UpstreamConnections;
    readonly observer: RequestObserver;
    /** Route table of the configuration in force; undefined until the first configuration is known. */
    readonly routeTable: () => RouteTable | undefined;
    readonly retryBudget: (service: string) => RetryBudget;
    /** Hedging of calls whose first attempt is slow to answer, and a listener for what comes of it; undefined where it is off. */
    readonly hedging: { readonly policy: HedgePolicy; readonly onHedge: (result: HedgeResult) => void; } | undefined;
    /** Called once for each call of a customer that began to run; omitted where no usage is reported. */
    readonly onRunBegun?: ((customer: string, evidence: RunEvidence) => void) | undefined;
    readonly placeCall: (request: PlacementRequest) => PlacementDecision | Promise<PlacementDecision>;
    /** Whether calls are refused when there is too little room for them; calls are placed without it when omitted. */
    readonly hasAdmission?: boolean;
}
