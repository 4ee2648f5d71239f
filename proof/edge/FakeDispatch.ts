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

/** Grants at once the next upstream of the pool, in turn, that the ticket does not exclude. */
export class FakeDispatch implements DispatchService {
    readonly tickets: Ticket[] = [];
    readonly ends: GrantEnd[] = [];
    readonly open = new Set<OpenGrant>();
    /** The refusals that the next tickets get, one each. */
    readonly refusals: DispatchRefusal[] = [];
    private turn = 0;

    constructor(private readonly view: () => ConfigView) {}

    acquire(ticket: Ticket): ResultAsync<Grant, DispatchRefusal> {
        this.tickets.push(ticket);
        const refusal = this.refusals.shift();
        if (refusal !== undefined) {
            return new ResultAsync(Promise.resolve(err(refusal)));
        }
        const upstreams = this.view().pools.get(ticket.pool)?.upstreams ?? [];
        const allowed = upstreams.filter(upstream => !ticket.excludedUpstreams.includes(upstream.id));
        const upstream = allowed[this.turn++ % Math.max(1, allowed.length)];
        if (upstream === undefined) {
            return new ResultAsync(
                Promise.resolve(err({ kind: "no-upstream", retryAfterMs: 100, message: "no upstream is left; add one" })),
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
                    throw new Error("a grant was ended twice");
                }
                this.ends.push(end);
            },
        })));
    }
}
