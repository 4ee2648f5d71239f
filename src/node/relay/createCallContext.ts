import { pickService } from "../../core/relay/pickService.js";
import { createCallSummary } from "../caller/createCallSummary.js";
import type { CallContext } from "./CallContext.js";
import { CallerResponse } from "./CallerResponse.js";
import type { RelayDependencies } from "./RelayDependencies.js";
import { relayLimits } from "./relayLimits.js";
import type { RelayRequest } from "./RelayRequest.js";

/** Derives from a call its service, deadline and shared prompt parts, and prepares its response and summary. */
export function createCallContext(dependencies: RelayDependencies, request: RelayRequest): CallContext {
    const { call, route, arrivedMs } = request;
    const callerTimeoutMs = call.patienceMs === undefined ? Infinity : call.patienceMs - relayLimits.deadlineMarginMs;
    const service = pickService(route, call.requestId) ?? "";
    const summary = { ...createCallSummary(), service };
    return {
        dependencies,
        request,
        service,
        sharedPartIds: call.prompt?.parts.slice(0, -1).map(part => part.id) ?? [],
        deadlineMs: arrivedMs + Math.min(route.timeoutMs, callerTimeoutMs),
        summary,
        callerResponse: new CallerResponse(dependencies, request, summary),
    };
}
