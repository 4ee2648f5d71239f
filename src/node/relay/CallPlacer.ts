import type { AdmissionRequest } from "../../core/relay/AdmissionRequest.js";
import { computeTierRank } from "../../core/relay/computeTierRank.js";
import { decidePausedCall } from "../../core/relay/decidePausedCall.js";
import type { Placement } from "../../core/relay/Placement.js";
import type { PlacementRefusal } from "../../core/relay/PlacementRefusal.js";
import type { RelayUpstream } from "../../schema/relay/RelayUpstream.js";
import { sleepFor } from "../config/sleepFor.js";
import { createLogger } from "../logs/createLogger.js";
import type { CallContext } from "./CallContext.js";

const log = createLogger("relay");
/** Interval at which a call that waits for a paused upstream looks for another one that has become available. */
const pausedCheckIntervalMs = 50;

/**
 * Where a call goes next; `paused`: all upstreams that are left want no calls for this long; `refused`: there is too little room for it.
 */
type PlacementResult =
    | { readonly kind: "placed"; readonly placement: Placement; }
    | { readonly kind: "no-upstream"; }
    | { readonly kind: "paused"; readonly retryAfterMs: number; }
    | { readonly kind: "refused"; readonly refusal: PlacementRefusal; };

/** Chooses the upstreams of one call; none of them twice. */
export class CallPlacer {
    private readonly triedUpstreamIds = new Set<string>();
    private hasLoggedPause = false;
    private hasPlaced = false;

    constructor(private readonly context: CallContext) {}

    recordAttempt(upstreamId: string): void {
        this.triedUpstreamIds.add(upstreamId);
    }

    hasAlternative(): boolean {
        return this.findCandidates().length > 0;
    }

    /** Upstreams that the call has not been sent to and that may get it now. */
    findCandidates(): readonly RelayUpstream[] {
        return this.findAvailable().candidates;
    }

    /** Chooses an upstream; waits for one that is paused if the call can then still be answered in time. */
    async choose(): Promise<PlacementResult> {
        const { service, request, dependencies: { directory, placeCall, scheduler } } = this.context;
        for (;;) {
            const nowMs = scheduler.nowMs();
            const { candidates, firstReturnMs } = this.findAvailable();
            if (candidates.length > 0 || firstReturnMs === undefined) {
                const { call, route } = request;
                const available = directory.available(service);
                const admission = this.createAdmissionRequest(nowMs);
                this.hasPlaced = true;
                const placement = await placeCall({ service, call, route, available, candidates, nowMs, admission });
                if (placement === undefined) {
                    return { kind: "no-upstream" };
                }
                return "refusedFor" in placement ? { kind: "refused", refusal: placement } : { kind: "placed", placement };
            }
            const decision = decidePausedCall({
                nowMs,
                firstReturnMs,
                arrivedMs: request.arrivedMs,
                deadlineMs: this.context.deadlineMs,
                targetMs: request.route.targetMs,
                tier: request.tier,
                random: Math.random(),
            });
            if (!this.hasLoggedPause) {
                this.hasLoggedPause = true;
                log("all upstreams that are left are paused", { requestId: request.call.requestId, service, ...decision });
            }
            if (decision.kind === "refuse") {
                return { kind: "paused", retryAfterMs: decision.retryAfterMs };
            }
            if (request.disconnectSignal.aborted) {
                return { kind: "no-upstream" };
            }
            await sleepFor(scheduler, Math.min(pausedCheckIntervalMs, Math.max(1, decision.untilMs - nowMs)));
        }
    }

    private createAdmissionRequest(nowMs: number): AdmissionRequest | undefined {
        const { deadlineMs, dependencies, request: { call, customer, route, tier } } = this.context;
        return dependencies.hasAdmission === true
            ? {
                customer: customer?.name ?? "",
                rank: computeTierRank(tier, route.tier),
                remainingMs: deadlineMs - nowMs,
                mayRefuse: this.triedUpstreamIds.size === 0 && call.lastEventId === undefined,
                isFirst: !this.hasPlaced,
            }
            : undefined;
    }

    private findAvailable() {
        const { service, dependencies: { availability, scheduler } } = this.context;
        return availability.select(service, this.triedUpstreamIds, scheduler.nowMs());
    }
}
