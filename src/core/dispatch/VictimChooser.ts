import type { ClassTable } from "./ClassTable.js";
import type { Engine } from "./Engine.js";
import type { GrantTable } from "./GrantTable.js";
import type { RunningGrant } from "./RunningGrant.js";
import type { WaitingTicket } from "./WaitingTicket.js";

/** Finds the stream whose cancellation makes room for a higher tier at the least cost. */
export class VictimChooser {
    constructor(private readonly grants: GrantTable, private readonly classes: ClassTable) {}

    /** Of the lowest tier below the ticket's, the stream with the fewest tokens to read again. No class goes below its floor. */
    choose(engines: Iterable<Engine>, waiting: WaitingTicket, totalSlots: number): RunningGrant | undefined {
        let best: RunningGrant | undefined;
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
    private mayPreempt(grant: RunningGrant, waiting: WaitingTicket, totalSlots: number): boolean {
        const { tier, serviceClass, isResumed } = grant.ticket;
        if (tier <= waiting.ticket.tier || grant.isPreempted || isResumed === true || grant.isLong) {
            return false;
        }
        return this.grants.keptOfClass(serviceClass) > this.classes.floorSlotsOf(serviceClass, totalSlots);
    }
}

function isCheaper(left: RunningGrant, right: RunningGrant): boolean {
    if (left.ticket.tier !== right.ticket.tier) {
        return left.ticket.tier > right.ticket.tier;
    }
    return left.ticket.promptTokens + left.outputTokens < right.ticket.promptTokens + right.outputTokens;
}
