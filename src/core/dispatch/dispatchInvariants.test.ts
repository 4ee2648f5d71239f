import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { ServiceClass } from "../../schema/config/ServiceClass.js";
import type { Ticket } from "../../schema/peer/Ticket.js";
import { defaultDispatchOptions } from "./defaultDispatchOptions.js";
import type { DispatchAction } from "./DispatchAction.js";
import { ShardDispatcher } from "./ShardDispatcher.js";

const engineCount = 3;
const slots = 3;
const pausedSlots = 2;
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
    readonly laterMs: number;
};

const stepOf: fc.Arbitrary<Step> = fc.record({
    kind: fc.constantFrom("offer", "offer", "offer", "offer", "offer", "offer", "end", "fail", "first", "gap", "tick", "drop", "leave"),
    value: fc.nat(1_000_000),
    laterMs: fc.integer({ min: 0, max: 80 }),
});

interface Live {
    readonly ticket: Ticket;
    readonly upstreamId: string;
}

/** Drives a dispatcher with every part switched on and checks what must hold after each step. */
class Checker {
    readonly dispatcher = new ShardDispatcher(
        {
            ...defaultDispatchOptions,
            maxOversubscribedRequests: pausedSlots,
            maxWaitingTickets: maxWaiting,
            hedgeShare: 0.2,
            recomputeShare: 0.5,
            grantIdleTimeoutMs: 1_000_000,
        },
        () => 0.5,
    );
    private nowMs = 0;
    private sequence = 0;
    private readonly live = new Map<string, Live>();
    private readonly waiting = new Map<string, { ticket: Ticket; offeredMs: number; }>();

    constructor() {
        this.dispatcher.setClasses(classes);
        this.setUpstreams(-1);
    }

    step({ kind, value, laterMs }: Step): void {
        this.nowMs += laterMs;
        this.take(this.dispatcher.tick(this.nowMs));
        const grantId = [...this.live.keys()][value % Math.max(1, this.live.size)] ?? "none";
        switch (kind) {
            case "offer":
                this.offer(value);
                break;
            case "end":
            case "fail":
                this.live.delete(grantId);
                this.take(
                    this.dispatcher.end(
                        grantId,
                        { result: kind === "end" ? "completed" : "failed", outputTokens: value % 400 },
                        this.nowMs,
                    ),
                );
                break;
            case "first":
                this.take(this.dispatcher.recordProgress(grantId, 1, value % 900, this.nowMs));
                break;
            case "gap":
                this.take(this.dispatcher.recordProgress(grantId, value % 300, 50, this.nowMs, value % 200));
                break;
            case "drop":
                this.drop(`vm-${value % 3}`);
                break;
            case "leave":
                this.take(this.setUpstreams(value % (engineCount + 1)));
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
            maxInFlight: slots,
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
        this.waiting.set(ticket.requestId, { ticket, offeredMs: this.nowMs });
        this.take(this.dispatcher.offer(ticket, this.nowMs));
    }

    private drop(vm: string): void {
        for (const [id, { ticket }] of this.waiting) {
            if (ticket.entryVm === vm) {
                this.waiting.delete(id);
            }
        }
        for (const [id, { ticket }] of this.live) {
            if (ticket.entryVm === vm) {
                this.live.delete(id);
            }
        }
        this.take(this.dispatcher.dropEntryVm(vm, this.nowMs));
    }

    private take(actions: readonly DispatchAction[]): void {
        for (const action of actions) {
            switch (action.type) {
                case "grant":
                    this.takeGrant(action);
                    break;
                case "refuse":
                    this.takeRefusal(action);
                    break;
                case "preempt":
                    this.takePreemption(action);
                    break;
                case "hedge":
                    this.takeHedge(action);
            }
        }
    }

    private takeGrant(grant: Extract<DispatchAction, { type: "grant"; }>): void {
        const waiting = this.waiting.get(grant.requestId);
        expect(waiting !== undefined).toEqual(true);
        expect(waiting?.ticket.excludedUpstreams.includes(grant.upstreamId)).toEqual(false);
        expect([...this.live.values()].some(live => live.ticket.requestId === grant.requestId)).toEqual(false);
        this.waiting.delete(grant.requestId);
        this.live.set(grant.grantId, { ticket: waiting?.ticket as Ticket, upstreamId: grant.upstreamId });
        this.checkSlots(grant.upstreamId, grant.tier);
    }

    /** A grant never makes the engine pause work of its own tier or above. */
    private checkSlots(upstreamId: string, tier: number): void {
        const upToTier = [...this.live.values()].filter(live => live.upstreamId === upstreamId && live.ticket.tier <= tier);
        expect(upToTier.length <= slots).toEqual(true);
    }

    private takeRefusal(refusal: Extract<DispatchAction, { type: "refuse"; }>): void {
        expect(this.waiting.delete(refusal.requestId)).toEqual(true);
        expect((refusal.retryAfterMs ?? -1) >= 0).toEqual(true);
        if (refusal.kind === "shed") {
            expect([...this.waiting.values()].every(({ ticket }) => ticket.tier <= refusal.tier)).toEqual(true);
        }
    }

    private takePreemption(preemption: Extract<DispatchAction, { type: "preempt"; }>): void {
        const live = this.live.get(preemption.grantId);
        expect(live !== undefined).toEqual(true);
        if (preemption.reason === "higher-tier") {
            expect(preemption.forTier < preemption.tier).toEqual(true);
            expect([...this.waiting.values()].some(({ ticket }) => ticket.tier <= preemption.forTier)).toEqual(true);
        }
    }

    private takeHedge(hedge: Extract<DispatchAction, { type: "hedge"; }>): void {
        const hedged = this.live.get(hedge.hedgedGrantId);
        expect(hedged !== undefined && hedged.upstreamId !== hedge.upstreamId).toEqual(true);
        expect([...this.live.values()].filter(live => live.ticket.requestId === hedge.requestId).length).toEqual(1);
        this.live.set(hedge.grantId, { ticket: hedged?.ticket as Ticket, upstreamId: hedge.upstreamId });
    }

    private checkState(): void {
        for (const [id, { ticket, offeredMs }] of this.waiting) {
            expect(this.dispatcher.isWaiting(id)).toEqual(true);
            expect(this.nowMs < offeredMs + ticket.maxQueueMs).toEqual(true);
        }
        expect(this.waiting.size <= maxWaiting).toEqual(true);
        for (const [engine, inFlight] of this.dispatcher.inFlight()) {
            const mine = [...this.live.values()].filter(live => live.upstreamId === engine);
            expect(mine.length).toEqual(inFlight);
            expect(inFlight <= slots + pausedSlots).toEqual(true);
        }
    }
}

test("with every part switched on, no step violates an invariant", () => {
    fc.assert(
        fc.property(fc.array(stepOf, { maxLength: 200, size: "max" }), steps => {
            const checker = new Checker();
            for (const step of steps) {
                checker.step(step);
            }
        }),
        { seed: 20_261_205, numRuns: 200 },
    );
});
