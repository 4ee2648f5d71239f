import type { ActiveGrant } from "./ActiveGrant.js";
import type { Engine } from "./Engine.js";
import type { GrantTable } from "./GrantTable.js";
import type { QueuedTicket } from "./QueuedTicket.js";
import type { ServiceClassTable } from "./ServiceClassTable.js";

/** Finds the stream whose cancellation makes room for a higher tier at the least cost. */
export class PreemptionVictimSelector {
    constructor(private readonly grants: GrantTable, private readonly classes: ServiceClassTable) {}

    /** Of the lowest tier below the ticket's, the stream with the fewest tokens to read again. No class goes below its floor. */
    selectVictim(engines: Iterable<Engine>, waiting: QueuedTicket, totalSlots: number): ActiveGrant | undefined {
        let best: ActiveGrant | undefined;
        for (const engine of engines) {
            if (engine.upstream.leaving || waiting.ticket.excludedUpstreams.includes(engine.upstream.id)) {
                continue;
            }
            for (const grant of engine.running) {
                if (this.mayPreempt(grant, waiting, totalSlots) && (best === undefined || isCheaper(grant, best))) {
                    best = grant;
                }
            }
        }
        return best;
    }

    /** Each request is preempted once at most: a resumed one runs on. */
    private mayPreempt(grant: ActiveGrant, waiting: QueuedTicket, totalSlots: number): boolean {
        const { tier, serviceClass, isResumed } = grant.ticket;
        if (tier <= waiting.ticket.tier || grant.isPreempted || isResumed === true || grant.isLong) {
            return false;
        }
        return this.grants.unpreemptedOfClass(serviceClass) > this.classes.floorSlotsOf(serviceClass, totalSlots);
    }
}

function isCheaper(left: ActiveGrant, right: ActiveGrant): boolean {
    if (left.ticket.tier !== right.ticket.tier) {
        return left.ticket.tier > right.ticket.tier;
    }
    return left.ticket.promptTokens + left.outputTokens < right.ticket.promptTokens + right.outputTokens;
}
