import type { Pool } from "../../schema/config/Pool.js";
import type { Ticket } from "../../schema/peer/Ticket.js";
import type { CallDependencies } from "./CallDependencies.js";
import type { CallerRequest } from "./CallerRequest.js";

interface TicketWork {
    readonly pool: Pool;
    readonly service: string;
    readonly promptTokens: number;
    readonly maxOutputTokens: number;
    readonly prefixHashes: number[];
    readonly attempt: number;
    readonly excludedUpstreams: string[];
    readonly waitedMs: number;
    readonly maxQueueMs: number;
    /** The caller has part of the answer. */
    readonly isResumed?: boolean;
}

/** The ticket that stands for a request in a dispatcher's queue. */
export function createTicket(parts: CallDependencies, request: CallerRequest, work: TicketWork): Ticket {
    const { pool, ...rest } = work;
    return {
        ...rest,
        requestId: request.requestId,
        entryVm: parts.vm,
        availabilityZone: parts.availabilityZone,
        customer: request.customer.name,
        serviceClass: request.serviceClass.name,
        tier: request.serviceClass.tier,
        pool: pool.name,
        firstTokenTargetMs: request.serviceClass.firstTokenTargetMs,
    };
}
