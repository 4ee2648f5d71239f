import type { Pool } from "../../schema/config/Pool.js";
import type { Ticket } from "../../schema/peer/Ticket.js";
import type { CallDependencies } from "./CallDependencies.js";
import type { CallerRequest } from "./CallerRequest.js";

interface TicketOptions {
    readonly pool: Pool;
    readonly service: string;
    readonly promptTokens: number;
    readonly maxOutputTokens: number;
    readonly prefixHashes: number[];
    readonly attempt: number;
    readonly excludedUpstreams: string[];
    readonly waitedMs: number;
    readonly maxQueueMs: number;
    /** The caller already has part of the response. */
    readonly isResumed?: boolean;
}

/** Creates the ticket that represents a request in a dispatcher's queue. */
export function createTicket(dependencies: CallDependencies, request: CallerRequest, options: TicketOptions): Ticket {
    const { pool, ...rest } = options;
    return {
        ...rest,
        requestId: request.requestId,
        entryVm: dependencies.vm,
        availabilityZone: dependencies.availabilityZone,
        customer: request.customer.name,
        serviceClass: request.serviceClass.name,
        tier: request.serviceClass.tier,
        pool: pool.name,
        firstTokenTargetMs: request.serviceClass.firstTokenTargetMs,
    };
}
