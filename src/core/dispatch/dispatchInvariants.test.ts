import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { ServiceClass } from "../../schema/config/ServiceClass.js";
import type { Ticket } from "../../schema/peer/Ticket.js";
import { defaultDispatchOptions } from "./defaultDispatchOptions.js";
import type { DispatchAction } from "./DispatchAction.js";
import { ShardDispatcher } from "./ShardDispatcher.js";

const engineCount = 3;
const slotsPerEngine = 3;
const maxOversubscribed = 2;
const maxWaiting = 4;

const classes = [...Array(7).keys()].map(tier =>
    ServiceClass.parse({
        name: `class-${tier}`,
        tier,
        firstTokenTargetMs: 200 * (tier + 1),
        tokenGapTargetMs: 40 + 10 * tier,
        maxQueueMs: 500 * (tier + 1),
        floorShare: tier > 4 ? 0.1 : 0,
        refuseEarly: tier % 3 === 1,
    })
);

type Step = {
    readonly kind: "offer" | "end" | "fail" | "first" | "gap" | "tick" | "drop" | "leave";
    readonly value: number;
    readonly elapsedMs: number;
};

const arbitraryStep: fc.Arbitrary<Step> = fc.record({
    kind: fc.constantFrom("offer", "offer", "offer", "offer", "offer", "offer", "end", "fail", "first", "gap", "tick", "drop", "leave"),
    value: fc.nat(1_000_000),
    elapsedMs: fc.integer({ min: 0, max: 80 }),
});

interface LiveGrant {
    readonly ticket: Ticket;
    readonly upstreamId: string;
}

/** Drives a dispatcher with all features enabled and checks its invariants after each step. */
class InvariantChecker {
    readonly dispatcher = new ShardDispatcher(
        {
            ...defaultDispatchOptions,
            maxOversubscribedRequests: maxOversubscribed,
            maxWaitingTickets: maxWaiting,
            hedgeShare: 0.2,
            recomputeShare: 0.5,
            grantIdleTimeoutMs: 1_000_000,
        },
        () => 0.5,
    );
    private nowMs = 0;
    private sequence = 0;
    private readonly liveGrants = new Map<string, LiveGrant>();
    private readonly waiting = new Map<string, { ticket: Ticket; offeredAtMs: number; }>();

    constructor() {
        this.dispatcher.setClasses(classes);
        this.setUpstreams(-1);
    }

    step({ kind, value, elapsedMs }: Step): void {
        this.nowMs += elapsedMs;
        this.applyActions(this.dispatcher.tick(this.nowMs));
        const grantId = [...this.liveGrants.keys()][value % Math.max(1, this.liveGrants.size)] ?? "none";
        switch (kind) {
            case "offer":
                this.offer(value);
                break;
            case "end":
            case "fail":
                this.liveGrants.delete(grantId);
                this.applyActions(
                    this.dispatcher.endGrant(
                        grantId,
                        { result: kind === "end" ? "completed" : "failed", outputTokens: value % 400 },
                        this.nowMs,
                    ),
                );
                break;
            case "first":
                this.applyActions(this.dispatcher.recordProgress(grantId, 1, value % 900, this.nowMs));
                break;
            case "gap":
                this.applyActions(this.dispatcher.recordProgress(grantId, value % 300, 50, this.nowMs, value % 200));
                break;
            case "drop":
                this.dropEntryVm(`vm-${value % 3}`);
                break;
            case "leave":
                this.applyActions(this.setUpstreams(value % (engineCount + 1)));
                break;
            case "tick":
                break;
        }
        this.checkState();
    }

    private setUpstreams(leaving: number): readonly DispatchAction[] {
        const upstreams = [...Array(engineCount).keys()].map(index => ({
            id: `engine-${index}`,
            availabilityZone: "nadi",
            maxInFlight: slotsPerEngine,
            leaving: index === leaving,
        }));
        return this.dispatcher.setUpstreams(upstreams, this.nowMs);
    }

    private offer(value: number): void {
        const tier = value % 7;
        const { firstTokenTargetMs, maxQueueMs } = classes[tier] as ServiceClass;
        const ticket: Ticket = {
            requestId: `request-${this.sequence++}`,
            attempt: 0,
            entryVm: `vm-${value % 3}`,
            availabilityZone: "nadi",
            customer: `customer-${value % 2}`,
            serviceClass: `class-${tier}`,
            tier,
            pool: "pool",
            service: "model",
            promptTokens: 50 + value % 5_000,
            maxOutputTokens: 400,
            prefixHashes: [value % 5, value % 7],
            waitedMs: 0,
            firstTokenTargetMs,
            maxQueueMs,
            excludedUpstreams: value % 4 === 0 ? ["engine-0"] : [],
        };
        this.waiting.set(ticket.requestId, { ticket, offeredAtMs: this.nowMs });
        this.applyActions(this.dispatcher.offer(ticket, this.nowMs));
    }

    private dropEntryVm(vm: string): void {
        for (const [id, { ticket }] of this.waiting) {
            if (ticket.entryVm === vm) {
                this.waiting.delete(id);
            }
        }
        for (const [id, { ticket }] of this.liveGrants) {
            if (ticket.entryVm === vm) {
                this.liveGrants.delete(id);
            }
        }
        this.applyActions(this.dispatcher.dropEntryVm(vm, this.nowMs));
    }

    private applyActions(actions: readonly DispatchAction[]): void {
        for (const action of actions) {
            switch (action.type) {
                case "grant":
                    this.applyGrant(action);
                    break;
                case "refuse":
                    this.applyRefusal(action);
                    break;
                case "preempt":
                    this.applyPreemption(action);
                    break;
                case "hedge":
                    this.applyHedge(action);
            }
        }
    }

    private applyGrant(grant: Extract<DispatchAction, { type: "grant"; }>): void {
        const waiting = this.waiting.get(grant.requestId);
        expect(waiting !== undefined).toEqual(true);
        expect(waiting?.ticket.excludedUpstreams.includes(grant.upstreamId)).toEqual(false);
        expect([...this.liveGrants.values()].some(liveGrant => liveGrant.ticket.requestId === grant.requestId)).toEqual(false);
        this.waiting.delete(grant.requestId);
        this.liveGrants.set(grant.grantId, { ticket: waiting?.ticket as Ticket, upstreamId: grant.upstreamId });
        this.checkSlots(grant.upstreamId, grant.tier);
    }

    /** A grant must never make the engine pause requests of its own tier or above. */
    private checkSlots(upstreamId: string, tier: number): void {
        const grantsUpToTier = [...this.liveGrants.values()].filter(liveGrant =>
            liveGrant.upstreamId === upstreamId && liveGrant.ticket.tier <= tier
        );
        expect(grantsUpToTier.length <= slotsPerEngine).toEqual(true);
    }

    private applyRefusal(refusal: Extract<DispatchAction, { type: "refuse"; }>): void {
        expect(this.waiting.delete(refusal.requestId)).toEqual(true);
        expect((refusal.retryAfterMs ?? -1) >= 0).toEqual(true);
        if (refusal.kind === "shed") {
            expect([...this.waiting.values()].every(({ ticket }) => ticket.tier <= refusal.tier)).toEqual(true);
        }
    }

    private applyPreemption(preemption: Extract<DispatchAction, { type: "preempt"; }>): void {
        const liveGrant = this.liveGrants.get(preemption.grantId);
        expect(liveGrant !== undefined).toEqual(true);
        if (preemption.reason === "higher-tier") {
            expect(preemption.forTier < preemption.tier).toEqual(true);
            expect([...this.waiting.values()].some(({ ticket }) => ticket.tier <= preemption.forTier)).toEqual(true);
        }
    }

    private applyHedge(hedge: Extract<DispatchAction, { type: "hedge"; }>): void {
        const hedged = this.liveGrants.get(hedge.hedgedGrantId);
        expect(hedged !== undefined && hedged.upstreamId !== hedge.upstreamId).toEqual(true);
        expect([...this.liveGrants.values()].filter(liveGrant => liveGrant.ticket.requestId === hedge.requestId).length).toEqual(1);
        this.liveGrants.set(hedge.grantId, { ticket: hedged?.ticket as Ticket, upstreamId: hedge.upstreamId });
    }

    private checkState(): void {
        for (const [id, { ticket, offeredAtMs }] of this.waiting) {
            expect(this.dispatcher.isWaiting(id)).toEqual(true);
            expect(this.nowMs < offeredAtMs + ticket.maxQueueMs).toEqual(true);
        }
        expect(this.waiting.size <= maxWaiting).toEqual(true);
        for (const [engine, inFlight] of this.dispatcher.inFlight()) {
            const engineGrants = [...this.liveGrants.values()].filter(liveGrant => liveGrant.upstreamId === engine);
            expect(engineGrants.length).toEqual(inFlight);
            expect(inFlight <= slotsPerEngine + maxOversubscribed).toEqual(true);
        }
    }
}

test("no random sequence of events overfills an engine, grants a request twice, loses a ticket or preempts for an equal or lower tier", () => {
    fc.assert(
        fc.property(fc.array(arbitraryStep, { maxLength: 200, size: "max" }), steps => {
            const checker = new InvariantChecker();
            for (const step of steps) {
                checker.step(step);
            }
        }),
        { seed: 20_261_205, numRuns: 200 },
    );
});
