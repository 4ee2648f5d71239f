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
const slotCount = 4;

type Step =
    | { readonly type: "offer"; readonly tier: number; readonly waitedMs: number; readonly elapsedMs: number; }
    | { readonly type: "end"; readonly pick: number; readonly elapsedMs: number; }
    | { readonly type: "withdraw"; readonly pick: number; readonly elapsedMs: number; }
    | { readonly type: "tick"; readonly elapsedMs: number; };

const arbitraryStep: fc.Arbitrary<Step> = fc.oneof(
    fc.record({
        type: fc.constant("offer" as const),
        tier: fc.integer({ min: 0, max: 2 }),
        waitedMs: fc.integer({ min: 0, max: 400 }),
        elapsedMs: fc.integer({ min: 0, max: 60 }),
    }),
    fc.record({ type: fc.constant("end" as const), pick: fc.nat(1_000), elapsedMs: fc.integer({ min: 0, max: 60 }) }),
    fc.record({ type: fc.constant("withdraw" as const), pick: fc.nat(1_000), elapsedMs: fc.integer({ min: 0, max: 60 }) }),
    fc.record({ type: fc.constant("tick" as const), elapsedMs: fc.integer({ min: 0, max: 400 }) }),
);

interface ReferenceTicket {
    readonly id: string;
    readonly tier: number;
    readonly latestStartAtMs: number;
    readonly expiresAtMs: number;
}

/** Reference implementation of the dispatch order that scans plain lists. */
class ReferenceDispatcher {
    waiting: ReferenceTicket[] = [];
    running: ReferenceTicket[] = [];
    private readonly onTimeGrantsSinceLateGrant = [0, 0, 0];

    constructor(private readonly firstTokenMs: number) {}

    offer(id: string, tier: number, waitedMs: number, nowMs: number): string[] {
        const { firstTokenTargetMs, maxQueueMs, refuseEarly } = classes[tier] as ServiceClass;
        const latestStartAtMs = nowMs - waitedMs + firstTokenTargetMs - this.firstTokenMs;
        const queueDeadlineMs = nowMs - waitedMs + maxQueueMs;
        this.waiting.push({
            id,
            tier,
            latestStartAtMs,
            expiresAtMs: refuseEarly ? Math.min(latestStartAtMs, queueDeadlineMs) : queueDeadlineMs,
        });
        return this.grantAll(nowMs);
    }

    decide(nowMs: number): string[] {
        const expired = this.waiting.filter(ticket => ticket.expiresAtMs <= nowMs).sort((left, right) =>
            left.expiresAtMs - right.expiresAtMs
        );
        this.waiting = this.waiting.filter(ticket => ticket.expiresAtMs > nowMs);
        return [...expired.map(ticket => `refuse ${ticket.id}`), ...this.grantAll(nowMs)];
    }

    private grantAll(nowMs: number): string[] {
        const decisions: string[] = [];
        while (this.running.length < slotCount && this.waiting.length > 0) {
            const next = this.findNext(nowMs);
            const isLate = next.latestStartAtMs < nowMs;
            this.onTimeGrantsSinceLateGrant[next.tier] = isLate ? 0 : (this.onTimeGrantsSinceLateGrant[next.tier] as number) + 1;
            this.waiting = this.waiting.filter(ticket => ticket !== next);
            this.running.push(next);
            decisions.push(`grant ${next.id}`);
        }
        return decisions;
    }

    private findNext(nowMs: number): ReferenceTicket {
        const heads = [0, 1, 2].map(tier => this.findHead(tier, nowMs)).filter(head => head !== undefined);
        const isLowestTierUnderFloor = this.running.filter(ticket => ticket.tier === 2).length < 1;
        return (isLowestTierUnderFloor ? heads.find(head => head.tier === 2) : undefined) ?? (heads[0] as ReferenceTicket);
    }

    private findHead(tier: number, nowMs: number): ReferenceTicket | undefined {
        const tierTickets = this.waiting.filter(ticket => ticket.tier === tier);
        const late = tierTickets.filter(ticket => ticket.latestStartAtMs < nowMs);
        const onTime = tierTickets.filter(ticket => ticket.latestStartAtMs >= nowMs).sort((left, right) =>
            left.latestStartAtMs - right.latestStartAtMs
        );
        const isLateTurn = late.length > 0 && (this.onTimeGrantsSinceLateGrant[tier] as number) >= 8;
        return isLateTurn ? late[0] : onTime[0] ?? late[0];
    }
}

function createTicket(id: string, tier: number, waitedMs: number): Ticket {
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

function createDispatcher(): ShardDispatcher {
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
    dispatcher.setUpstreams([{ id: "engine-0", availabilityZone: "nadi", maxInFlight: slotCount, leaving: false }], 0);
    return dispatcher;
}

/** Time to first token that the speed model predicts before any observation, for 100 prompt tokens and the assumed batch size. */
const predictedFirstTokenMs = 20 + 0.06 * 100 + 8;

function formatAction(action: DispatchAction): string {
    return `${action.type} ${action.requestId}`;
}

test("heap-based dispatch grants and refuses in the same order as linear scans, for random sequences of events", () => {
    fc.assert(
        fc.property(fc.array(arbitraryStep, { maxLength: 120, size: "max" }), steps => {
            const dispatcher = createDispatcher();
            const reference = new ReferenceDispatcher(predictedFirstTokenMs);
            const grantIds = new Map<string, string>();
            let nowMs = 0;
            for (const [index, step] of steps.entries()) {
                nowMs += step.elapsedMs;
                const [actions, expected] = applyStep(dispatcher, reference, grantIds, step, `ticket-${index}`, nowMs);
                for (const action of actions) {
                    if (action.type === "grant") {
                        grantIds.set(action.requestId, action.grantId);
                    }
                }
                expect(actions.map(formatAction)).toEqual(expected);
            }
        }),
        { seed: 20_261_204, numRuns: 300 },
    );
});

function applyStep(
    dispatcher: ShardDispatcher,
    reference: ReferenceDispatcher,
    grantIds: ReadonlyMap<string, string>,
    step: Step,
    id: string,
    nowMs: number,
): [readonly DispatchAction[], string[]] {
    const expectedAtTick = reference.decide(nowMs);
    const tickActions = dispatcher.tick(nowMs);
    if (step.type === "offer") {
        const actions = [...tickActions, ...dispatcher.offer(createTicket(id, step.tier, step.waitedMs), nowMs)];
        return [actions, [...expectedAtTick, ...reference.offer(id, step.tier, step.waitedMs, nowMs)]];
    }
    if (step.type === "end" && reference.running.length > 0) {
        const ended = reference.running[step.pick % reference.running.length] as ReferenceTicket;
        reference.running = reference.running.filter(ticket => ticket !== ended);
        const grantId = grantIds.get(ended.id) ?? findGrantId(tickActions, ended.id);
        const actions = [...tickActions, ...dispatcher.endGrant(grantId, { result: "cancelled", outputTokens: 0 }, nowMs)];
        return [actions, [...expectedAtTick, ...reference.decide(nowMs)]];
    }
    if (step.type === "withdraw" && reference.waiting.length > 0) {
        const withdrawn = reference.waiting[step.pick % reference.waiting.length] as ReferenceTicket;
        reference.waiting = reference.waiting.filter(ticket => ticket !== withdrawn);
        return [[...tickActions, ...dispatcher.withdraw(withdrawn.id, 0, nowMs)], [...expectedAtTick, ...reference.decide(nowMs)]];
    }
    return [tickActions, expectedAtTick];
}

function findGrantId(actions: readonly DispatchAction[], requestId: string): string {
    const grant = actions.find(action => action.type === "grant" && action.requestId === requestId);
    return grant?.type === "grant" ? grant.grantId : "";
}
