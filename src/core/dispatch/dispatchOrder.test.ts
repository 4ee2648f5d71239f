import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { ServiceClass } from "../../schema/config/ServiceClass.js";
import type { Ticket } from "../../schema/peer/Ticket.js";
import { defaultDispatchOptions } from "./defaultDispatchOptions.js";
import type { DispatchAction } from "./DispatchAction.js";
import { ShardDispatcher } from "./ShardDispatcher.js";

const classes = [0, 1, 2].map(tier =>
    ServiceClass.parse({
        name: `class-${tier}`,
        tier,
        firstTokenTargetMs: 300 * (tier + 1),
        tokenGapTargetMs: 50,
        maxQueueMs: 1_000 * (tier + 1),
        floorShare: tier === 2 ? 0.25 : 0,
        refuseEarly: tier === 1,
    })
);
const slots = 4;

type Step =
    | { readonly type: "offer"; readonly tier: number; readonly waitedMs: number; readonly laterMs: number; }
    | { readonly type: "end"; readonly pick: number; readonly laterMs: number; }
    | { readonly type: "withdraw"; readonly pick: number; readonly laterMs: number; }
    | { readonly type: "tick"; readonly laterMs: number; };

const stepOf: fc.Arbitrary<Step> = fc.oneof(
    fc.record({
        type: fc.constant("offer" as const),
        tier: fc.integer({ min: 0, max: 2 }),
        waitedMs: fc.integer({ min: 0, max: 400 }),
        laterMs: fc.integer({ min: 0, max: 60 }),
    }),
    fc.record({ type: fc.constant("end" as const), pick: fc.nat(1_000), laterMs: fc.integer({ min: 0, max: 60 }) }),
    fc.record({ type: fc.constant("withdraw" as const), pick: fc.nat(1_000), laterMs: fc.integer({ min: 0, max: 60 }) }),
    fc.record({ type: fc.constant("tick" as const), laterMs: fc.integer({ min: 0, max: 400 }) }),
);

interface NaiveTicket {
    readonly id: string;
    readonly tier: number;
    readonly latestStartMs: number;
    readonly expiresMs: number;
}

/** The order of the dispatcher written as plain scans over lists. */
class NaiveDispatcher {
    waiting: NaiveTicket[] = [];
    running: NaiveTicket[] = [];
    private readonly picksSinceLate = [0, 0, 0];

    constructor(private readonly firstTokenMs: number) {}

    offer(id: string, tier: number, waitedMs: number, nowMs: number): string[] {
        const { firstTokenTargetMs, maxQueueMs, refuseEarly } = classes[tier] as ServiceClass;
        const latestStartMs = nowMs - waitedMs + firstTokenTargetMs - this.firstTokenMs;
        const boundMs = nowMs - waitedMs + maxQueueMs;
        this.waiting.push({ id, tier, latestStartMs, expiresMs: refuseEarly ? Math.min(latestStartMs, boundMs) : boundMs });
        return this.grantAll(nowMs);
    }

    decide(nowMs: number): string[] {
        const expired = this.waiting.filter(ticket => ticket.expiresMs <= nowMs).sort((left, right) => left.expiresMs - right.expiresMs);
        this.waiting = this.waiting.filter(ticket => ticket.expiresMs > nowMs);
        return [...expired.map(ticket => `refuse ${ticket.id}`), ...this.grantAll(nowMs)];
    }

    private grantAll(nowMs: number): string[] {
        const done: string[] = [];
        while (this.running.length < slots && this.waiting.length > 0) {
            const next = this.next(nowMs);
            const isLate = next.latestStartMs < nowMs;
            this.picksSinceLate[next.tier] = isLate ? 0 : (this.picksSinceLate[next.tier] as number) + 1;
            this.waiting = this.waiting.filter(ticket => ticket !== next);
            this.running.push(next);
            done.push(`grant ${next.id}`);
        }
        return done;
    }

    private next(nowMs: number): NaiveTicket {
        const heads = [0, 1, 2].map(tier => this.head(tier, nowMs)).filter(head => head !== undefined);
        const isLowUnderFloor = this.running.filter(ticket => ticket.tier === 2).length < 1;
        return (isLowUnderFloor ? heads.find(head => head.tier === 2) : undefined) ?? (heads[0] as NaiveTicket);
    }

    private head(tier: number, nowMs: number): NaiveTicket | undefined {
        const mine = this.waiting.filter(ticket => ticket.tier === tier);
        const late = mine.filter(ticket => ticket.latestStartMs < nowMs);
        const onTime = mine.filter(ticket => ticket.latestStartMs >= nowMs).sort((left, right) => left.latestStartMs - right.latestStartMs);
        const isLateTurn = late.length > 0 && (this.picksSinceLate[tier] as number) >= 8;
        return isLateTurn ? late[0] : onTime[0] ?? late[0];
    }
}

function ticketOf(id: string, tier: number, waitedMs: number): Ticket {
    const { firstTokenTargetMs, maxQueueMs } = classes[tier] as ServiceClass;
    return {
        requestId: id,
        attempt: 0,
        entryVm: "vm-1",
        availabilityZone: "nadi",
        customer: "depot",
        serviceClass: `class-${tier}`,
        tier,
        pool: "pool",
        service: "model",
        promptTokens: 100,
        maxOutputTokens: 50,
        prefixHashes: [],
        waitedMs,
        firstTokenTargetMs,
        maxQueueMs,
        excludedUpstreams: [],
    };
}

function plainDispatcher(): ShardDispatcher {
    const options = {
        ...defaultDispatchOptions,
        maxOversubscribedRequests: 0,
        isPreemptionEnabled: false,
        isMigrationEnabled: false,
        isOutlierDetectionEnabled: false,
        reservedShortSlotShare: 0,
    };
    const dispatcher = new ShardDispatcher({ ...options, gapBudgetShare: Infinity }, () => 0);
    dispatcher.setClasses(classes);
    dispatcher.setUpstreams([{ id: "engine-0", availabilityZone: "nadi", maxInFlight: slots, leaving: false }], 0);
    return dispatcher;
}

/** First-token time that the dispatcher predicts before it has seen any, read off a grant on an idle engine with the usual batch. */
const predictedFirstTokenMs = 20 + 0.06 * 100 + 8;

function toText(action: DispatchAction): string {
    return `${action.type} ${action.requestId}`;
}

test("the dispatcher grants and refuses as plain scans over lists do", () => {
    fc.assert(
        fc.property(fc.array(stepOf, { maxLength: 120, size: "max" }), steps => {
            const dispatcher = plainDispatcher();
            const naive = new NaiveDispatcher(predictedFirstTokenMs);
            const grantIds = new Map<string, string>();
            let nowMs = 0;
            for (const [index, step] of steps.entries()) {
                nowMs += step.laterMs;
                const [actions, expected] = applyStep(dispatcher, naive, grantIds, step, `ticket-${index}`, nowMs);
                for (const action of actions) {
                    if (action.type === "grant") {
                        grantIds.set(action.requestId, action.grantId);
                    }
                }
                expect(actions.map(toText)).toEqual(expected);
            }
        }),
        { seed: 20_261_204, numRuns: 300 },
    );
});

function applyStep(
    dispatcher: ShardDispatcher,
    naive: NaiveDispatcher,
    grantIds: ReadonlyMap<string, string>,
    step: Step,
    id: string,
    nowMs: number,
): [readonly DispatchAction[], string[]] {
    const before = naive.decide(nowMs);
    const ticked = dispatcher.tick(nowMs);
    if (step.type === "offer") {
        const actions = [...ticked, ...dispatcher.offer(ticketOf(id, step.tier, step.waitedMs), nowMs)];
        return [actions, [...before, ...naive.offer(id, step.tier, step.waitedMs, nowMs)]];
    }
    if (step.type === "end" && naive.running.length > 0) {
        const ended = naive.running[step.pick % naive.running.length] as NaiveTicket;
        naive.running = naive.running.filter(ticket => ticket !== ended);
        const grantId = grantIds.get(ended.id) ?? grantIdIn(ticked, ended.id);
        const actions = [...ticked, ...dispatcher.end(grantId, { result: "cancelled", outputTokens: 0 }, nowMs)];
        return [actions, [...before, ...naive.decide(nowMs)]];
    }
    if (step.type === "withdraw" && naive.waiting.length > 0) {
        const gone = naive.waiting[step.pick % naive.waiting.length] as NaiveTicket;
        naive.waiting = naive.waiting.filter(ticket => ticket !== gone);
        return [[...ticked, ...dispatcher.withdraw(gone.id, 0, nowMs)], [...before, ...naive.decide(nowMs)]];
    }
    return [ticked, before];
}

function grantIdIn(actions: readonly DispatchAction[], requestId: string): string {
    const grant = actions.find(action => action.type === "grant" && action.requestId === requestId);
    return grant?.type === "grant" ? grant.grantId : "";
}
