import type { ActiveGrant } from "./ActiveGrant.js";
import type { Engine } from "./Engine.js";
import type { GrantTable } from "./GrantTable.js";
import type { QueuedTicket } from "./QueuedTicket.js";
import type { ServiceClassTable } from "./ServiceClassTable.js";

/** Selects the stream that is cheapest to cancel to free a slot for a higher tier. */
export class PreemptionVictimSelector {
    constructor(private readonly grants: GrantTable, private readonly classes: ServiceClassTable) {}

    /** Selects the stream with the fewest tokens to recompute in the lowest preemptible tier. No class is taken below its floor. */
    selectVictim(engines: Iterable<Engine>, queuedTicket: QueuedTicket, totalSlots: number): ActiveGrant | undefined {
        let victim: ActiveGrant | undefined;
        for (const engine of engines) {
            if (engine.upstream.leaving || queuedTicket.ticket.excludedUpstreams.includes(engine.upstream.id)) {
                continue;
            }
            for (const grant of engine.running) {
                if (this.canPreempt(grant, queuedTicket, totalSlots) && (victim === undefined || isCheaperToPreempt(grant, victim))) {
                    victim = grant;
                }
            }
        }
        return victim;
    }

    /** Each request is preempted at most once: resumed requests are exempt. */
    private canPreempt(grant: ActiveGrant, queuedTicket: QueuedTicket, totalSlots: number): boolean {
        const { tier, serviceClass, isResumed } = grant.ticket;
        if (tier <= queuedTicket.ticket.tier || grant.isPreempted || isResumed === true || grant.isLong) {
            return false;
        }
        return this.grants.countUnpreempted(serviceClass) > this.classes.floorSlotsOf(serviceClass, totalSlots);
    }
}

function isCheaperToPreempt(left: ActiveGrant, right: ActiveGrant): boolean {
    if (left.ticket.tier !== right.ticket.tier) {
        return left.ticket.tier > right.ticket.tier;
    }
    return left.ticket.promptTokens + left.outputTokens < right.ticket.promptTokens + right.outputTokens;
}
