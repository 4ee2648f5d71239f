import { computeEnginePriority } from "../../core/relay/computeEnginePriority.js";
import { computeTierRank } from "../../core/relay/computeTierRank.js";
import type { Placement } from "../../core/relay/Placement.js";
import { createLogger } from "../logs/createLogger.js";
import type { CallContext } from "./CallContext.js";
import { computeRemainingMs } from "./computeRemainingMs.js";
import { isEventStream } from "./isEventStream.js";
import { RelayAttempt } from "./RelayAttempt.js";
import { RunningAttempt } from "./RunningAttempt.js";

const log = createLogger("relay");

type ResponseHandlers = Pick<ConstructorParameters<typeof RelayAttempt>[0], "onOwnHead" | "onHead" | "onBytes">;

/** Sends a call to the upstream that it was placed on. */
export function startAttempt(context: CallContext, placement: Placement, handlers: ResponseHandlers): RunningAttempt {
    const { dependencies, request, summary } = context;
    const patienceMs = Math.max(1, Math.floor(computeRemainingMs(context)));
    summary.upstreamId = placement.upstream.id;
    summary.attempts++;
    summary.queueMs ??= dependencies.scheduler.nowMs() - request.arrivedMs;
    dependencies.availability.recordSent(placement.upstream, dependencies.scheduler.nowMs());
    logPlacement(context, placement, patienceMs);
    return new RunningAttempt(createAttempt(context, placement, patienceMs, handlers), placement, dependencies);
}

function createAttempt(
    { dependencies, request, callerResponse }: CallContext,
    { upstream, delay }: Placement,
    patienceMs: number,
    handlers: ResponseHandlers,
): RelayAttempt {
    const { call, customer, incoming, body, route } = request;
    return new RelayAttempt({
        call,
        upstream,
        body,
        headers: dependencies.dialect.buildUpstreamHeaders(call, incoming.headers, {
            upstreamId: upstream.id,
            patienceMs,
            customer: customer?.name,
            priority: computeEnginePriority(computeTierRank(request.tier, route.tier), delay, request.routeTable.streamTierRanks),
            lastEventId: callerResponse.hasSentHead ? callerResponse.framer.lastEventId : call.lastEventId,
        }),
        dialect: dependencies.dialect,
        connections: dependencies.connections,
        scheduler: dependencies.scheduler,
        isStreamed: (status, headers) => route.kind === "stream" && status === 200 && isEventStream(headers),
        ...handlers,
    });
}

function logPlacement({ request, dependencies, service, summary }: CallContext, placement: Placement, patienceMs: number): void {
    log("placed", {
        requestId: request.call.requestId,
        route: request.route.name,
        service,
        upstream: placement.upstream.id,
        attempt: summary.attempts,
        reason: placement.reason,
        tier: request.tier,
        delay: placement.delay,
        waitMs: Math.round(placement.waitMs),
        readMs: Math.round(placement.readMs),
        callsThere: dependencies.loadTracker.callsInFlight(placement.upstream.id),
        patienceMs,
        configVersion: request.routeTable.version,
    });
}
