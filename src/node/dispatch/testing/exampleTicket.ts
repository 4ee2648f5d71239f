import type { Ticket } from "../../../schema/peer/Ticket.js";

/** Returns a top-tier ticket for dispatch tests. */
export function exampleTicket(requestId: string, entryVm: string, maxQueueMs: number): Ticket {
    return {
        requestId,
        attempt: 0,
        entryVm,
        availabilityZone: "nadi",
        customer: "station",
        serviceClass: "urgent",
        tier: 0,
        pool: "pumps",
        service: "pumpline-model",
        promptTokens: 10,
        maxOutputTokens: 10,
        prefixHashes: [],
        waitedMs: 0,
        firstTokenTargetMs: 450,
        maxQueueMs,
        excludedUpstreams: [],
    };
}
