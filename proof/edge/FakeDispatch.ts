import { err, ok, ResultAsync } from "neverthrow";
import type { ConfigView } from "../../src/core/config/ConfigView.js";
import type { DispatchRefusal } from "../../src/node/services/DispatchRefusal.js";
import type { DispatchService } from "../../src/node/services/DispatchService.js";
import type { Grant } from "../../src/node/services/Grant.js";
import type { GrantEnd } from "../../src/schema/peer/GrantEnd.js";
import type { Ticket } from "../../src/schema/peer/Ticket.js";

interface OpenGrant {
    readonly ticket: Ticket;
    readonly preempt: AbortController;
}

/** Dispatch service that immediately grants the pool's upstreams in round-robin order, skipping those that the ticket excludes. */
export class FakeDispatch implements DispatchService {
    readonly tickets: Ticket[] = [];
    readonly ends: GrantEnd[] = [];
    readonly open = new Set<OpenGrant>();
    /** Refusals for the next tickets, one per ticket in order. */
    readonly refusals: DispatchRefusal[] = [];
    private nextIndex = 0;

    constructor(private readonly view: () => ConfigView) {}

    acquire(ticket: Ticket): ResultAsync<Grant, DispatchRefusal> {
        this.tickets.push(ticket);
        const refusal = this.refusals.shift();
        if (refusal !== undefined) {
            return new ResultAsync(Promise.resolve(err(refusal)));
        }
        const upstreams = this.view().pools.get(ticket.pool)?.upstreams ?? [];
        const allowed = upstreams.filter(upstream => !ticket.excludedUpstreams.includes(upstream.id));
        const upstream = allowed[this.nextIndex++ % Math.max(1, allowed.length)];
        if (upstream === undefined) {
            return new ResultAsync(
                Promise.resolve(err({ kind: "no-upstream", retryAfterMs: 100, message: "no upstream left; ticket refused" })),
            );
        }
        const grant = { ticket, preempt: new AbortController() };
        this.open.add(grant);
        return new ResultAsync(Promise.resolve(ok({
            upstream,
            priority: ticket.tier,
            preemptionSignal: grant.preempt.signal,
            reportProgress: () => undefined,
            end: (end: GrantEnd) => {
                if (!this.open.delete(grant)) {
                    throw new Error("grant was ended twice");
                }
                this.ends.push(end);
            },
        })));
    }
}
