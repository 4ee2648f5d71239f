import { expect } from "earl";
import { test } from "node:test";
import { ServiceClass } from "../../schema/config/ServiceClass.js";
import type { Ticket } from "../../schema/peer/Ticket.js";
import { defaultDispatchOptions } from "./defaultDispatchOptions.js";
import type { DispatchAction } from "./DispatchAction.js";
import type { DispatchOptions } from "./DispatchOptions.js";
import { getDispatchOverrides } from "./getDispatchOverrides.js";
import { ShardDispatcher } from "./ShardDispatcher.js";

const classes = [
    ServiceClass.parse({ name: "urgent", tier: 0, firstTokenTargetMs: 450, tokenGapTargetMs: 35 }),
    ServiceClass.parse({ name: "batch", tier: 1, firstTokenTargetMs: 5_000, tokenGapTargetMs: 100 }),
];

function ticketOf(requestId: string, fields: Partial<Ticket> = {}): Ticket {
    const tier = fields.tier ?? 0;
    return {
        requestId,
        attempt: 0,
        entryVm: "vm-1",
        availabilityZone: "nadi",
        customer: "lautoka-depot",
        serviceClass: tier === 0 ? "urgent" : "batch",
        tier,
        pool: "pumpline",
        service: "pumpline-model",
        promptTokens: 100,
        maxOutputTokens: 100,
        prefixHashes: [],
        waitedMs: 0,
        firstTokenTargetMs: tier === 0 ? 450 : 5_000,
        maxQueueMs: 10_000,
        excludedUpstreams: [],
        ...fields,
    };
}

function dispatcherOf(engineCount: number, maxInFlight: number, options: Partial<DispatchOptions> = {}): ShardDispatcher {
    const dispatcher = new ShardDispatcher({
        ...defaultDispatchOptions,
        isPreemptionEnabled: false,
        maxOversubscribedRequests: 0,
        ...options,
    }, () => 0);
    dispatcher.setClasses(classes);
    const upstreams = [...Array(engineCount).keys()].map(index => ({
        id: `engine-${index}`,
        availabilityZone: "nadi",
        maxInFlight,
        leaving: false,
    }));
    dispatcher.setUpstreams(upstreams, 0);
    return dispatcher;
}

function grantsIn(actions: readonly DispatchAction[]): readonly Extract<DispatchAction, { type: "grant"; }>[] {
    return actions.filter(action => action.type === "grant");
}

test("a ticket is granted at once while a slot is free, and a repeated offer repeats the same grant", () => {
    const dispatcher = dispatcherOf(1, 1);
    const [first] = grantsIn(dispatcher.offer(ticketOf("a"), 0));
    const [again] = grantsIn(dispatcher.offer(ticketOf("a"), 1));
    expect(again?.grantId).toEqual(first?.grantId);
    expect(dispatcher.inFlight().get("engine-0")).toEqual(1);
});

test("a freed slot goes to the higher tier, then to the least slack", () => {
    const dispatcher = dispatcherOf(1, 1);
    const [held] = grantsIn(dispatcher.offer(ticketOf("held"), 0));
    dispatcher.offer(ticketOf("low", { tier: 1 }), 1);
    dispatcher.offer(ticketOf("loose"), 2);
    dispatcher.offer(ticketOf("tight", { waitedMs: 200 }), 3);
    const order: string[] = [];
    let next = held;
    while (next !== undefined) {
        [next] = grantsIn(dispatcher.end(next.grantId, { result: "completed", outputTokens: 10 }, 10));
        order.push(next?.requestId ?? "end");
    }
    expect(order).toEqual(["tight", "loose", "low", "end"]);
});

test("a ticket that reaches its bound is refused with a time to retry after", () => {
    const dispatcher = dispatcherOf(1, 1);
    dispatcher.offer(ticketOf("held"), 0);
    dispatcher.offer(ticketOf("waits", { tier: 1, maxQueueMs: 500 }), 0);
    expect(dispatcher.tick(499)).toEqual([]);
    const [refusal] = dispatcher.tick(500);
    expect(refusal?.type === "refuse" && refusal.kind).toEqual("queue-timeout");
});

test("an unused grant, a withdrawn one and one of a vanished entry VM return their slot", () => {
    const dispatcher = dispatcherOf(1, 1);
    const [first] = grantsIn(dispatcher.offer(ticketOf("a"), 0));
    dispatcher.offer(ticketOf("b"), 0);
    dispatcher.offer(ticketOf("c", { entryVm: "vm-2" }), 0);
    dispatcher.offer(ticketOf("d", { entryVm: "vm-2" }), 0);
    dispatcher.offer(ticketOf("e"), 0);
    expect(grantsIn(dispatcher.end(first?.grantId ?? "", { result: "unused", outputTokens: 0 }, 1)).map(it => it.requestId)).toEqual(["b"]);
    expect(grantsIn(dispatcher.withdraw("b", 0, 2)).map(it => it.requestId)).toEqual(["c"]);
    expect(grantsIn(dispatcher.dropEntryVm("vm-2", 3)).map(it => it.requestId)).toEqual(["e"]);
});

test("a new dispatcher that adopts running grants does not over-admit", () => {
    const dispatcher = dispatcherOf(1, 1);
    const adopted = { grantId: "old/1", ticket: ticketOf("a"), upstreamId: "engine-0", ageMs: 50, outputTokens: 3, firstTokenMs: 40 };
    dispatcher.adopt([adopted], 0);
    expect(dispatcher.offer(ticketOf("b"), 1)).toEqual([]);
    expect(grantsIn(dispatcher.end("old/1", { result: "completed", outputTokens: 9 }, 2)).map(it => it.requestId)).toEqual(["b"]);
});

test("a leaving engine gets nothing new", () => {
    const dispatcher = dispatcherOf(1, 2);
    dispatcher.offer(ticketOf("a"), 0);
    dispatcher.setUpstreams([{ id: "engine-0", availabilityZone: "nadi", maxInFlight: 2, leaving: true }], 1);
    expect(dispatcher.offer(ticketOf("b"), 2)).toEqual([]);
});

test("a late ticket waits behind those that can still make it, but for one pick in nine", () => {
    const dispatcher = dispatcherOf(1, 1);
    let [running] = grantsIn(dispatcher.offer(ticketOf("held"), 0));
    dispatcher.offer(ticketOf("late", { waitedMs: 440 }), 0);
    const order: string[] = [];
    for (let count = 0; count < 10; count++) {
        dispatcher.offer(ticketOf(`on-time-${count}`), 20);
    }
    while (running !== undefined) {
        [running] = grantsIn(dispatcher.end(running.grantId, { result: "cancelled", outputTokens: 0 }, 20));
        order.push(running?.requestId ?? "end");
    }
    // "held" was the first of the eight on-time picks.
    expect(order.indexOf("late")).toEqual(7);
});

test("a class under its floor gets the next slot, whatever waits above it", () => {
    const dispatcher = dispatcherOf(1, 2);
    dispatcher.setClasses([classes[0] as ServiceClass, { ...(classes[1] as ServiceClass), floorShare: 0.5 }]);
    const [first] = grantsIn(dispatcher.offer(ticketOf("a"), 0));
    dispatcher.offer(ticketOf("b"), 0);
    dispatcher.offer(ticketOf("c"), 0);
    dispatcher.offer(ticketOf("low", { tier: 1 }), 0);
    expect(grantsIn(dispatcher.end(first?.grantId ?? "", { result: "cancelled", outputTokens: 0 }, 1)).map(it => it.requestId)).toEqual([
        "low",
    ]);
});

test("a class that says so is refused once its first-token target is out of reach, but not an answer that has begun", () => {
    const dispatcher = dispatcherOf(1, 1);
    dispatcher.setClasses(classes.map(serviceClass => ({ ...serviceClass, refuseEarly: true })));
    dispatcher.offer(ticketOf("held"), 0);
    dispatcher.offer(ticketOf("fresh"), 0);
    dispatcher.offer(ticketOf("resumed", { isResumed: true }), 0);
    const refusals = dispatcher.tick(449).filter(action => action.type === "refuse");
    expect(refusals.map(refusal => `${refusal.requestId} ${refusal.kind}`)).toEqual(["fresh target-unreachable"]);
    expect((refusals[0]?.retryAfterMs ?? 0) > 0).toEqual(true);
});

test("an engine gets more than its slots for a higher tier only, and keeps the floor of the lower one", () => {
    const dispatcher = dispatcherOf(1, 4, { maxOversubscribedRequests: 4 });
    dispatcher.setClasses([classes[0] as ServiceClass, { ...(classes[1] as ServiceClass), floorShare: 0.25 }]);
    const granted = (id: string, tier: number) => grantsIn(dispatcher.offer(ticketOf(id, { tier }), 0)).length;
    expect([0, 1, 2, 3, 4].map(index => granted(`low-${index}`, 1))).toEqual([1, 1, 1, 1, 0]);
    expect([0, 1, 2, 3].map(index => granted(`high-${index}`, 0))).toEqual([1, 1, 1, 0]);
});

test("without pausing, a lower-tier stream is asked back when a higher tier would miss its target, and never below the floor", () => {
    const dispatcher = dispatcherOf(1, 2, { isPreemptionEnabled: true });
    dispatcher.setClasses([classes[0] as ServiceClass, { ...(classes[1] as ServiceClass), floorShare: 0.5 }]);
    dispatcher.offer(ticketOf("low-1", { tier: 1, promptTokens: 900 }), 0);
    dispatcher.offer(ticketOf("low-2", { tier: 1, promptTokens: 500 }), 0);
    expect(dispatcher.offer(ticketOf("high-1", { waitedMs: 400 }), 0).map(action => `${action.type} ${action.requestId}`)).toEqual([
        "preempt low-2",
    ]);
    expect(dispatcher.offer(ticketOf("high-2", { waitedMs: 400 }), 0)).toEqual([]);
});

test("a stream that an engine slows down is asked back for another engine after two observations", () => {
    const dispatcher = dispatcherOf(3, 4);
    const started = [0, 1, 2].flatMap(index => grantsIn(dispatcher.offer(ticketOf(`r-${index}`), 0)));
    const slow = started[0];
    for (const { grantId } of started) {
        dispatcher.recordProgress(grantId, 1, 40, 40);
    }
    expect(dispatcher.recordProgress(slow?.grantId ?? "", 3, 40, 200, 120)).toEqual([]);
    const [move] = dispatcher.recordProgress(slow?.grantId ?? "", 4, 40, 320, 120);
    expect(move?.type === "preempt" && move.reason).toEqual("slow-upstream");
    const [next] = grantsIn(dispatcher.offer(ticketOf("next"), 330));
    expect(next?.upstreamId === slow?.upstreamId).toEqual(false);
});

test("short work whose first token is late gets a second stream once, and its slot returns with either", () => {
    const dispatcher = dispatcherOf(2, 4, { hedgeShare: 0.5, isMigrationEnabled: false });
    const [grant] = grantsIn(dispatcher.offer(ticketOf("a"), 0));
    expect(dispatcher.tick(60)).toEqual([]);
    const [hedge] = dispatcher.tick(120).filter(action => action.type === "hedge");
    expect(hedge !== undefined && hedge.upstreamId !== grant?.upstreamId).toEqual(true);
    expect(dispatcher.tick(130)).toEqual([]);
    dispatcher.end(grant?.grantId ?? "", { result: "cancelled", outputTokens: 0 }, 150);
    expect(dispatcher.inFlight().get(grant?.upstreamId ?? "")).toEqual(0);
    const [again] = grantsIn(dispatcher.offer(ticketOf("a"), 160));
    expect(again?.grantId).toEqual(hedge?.grantId);
});

test("a prompt whose blocks an engine has read goes to that engine", () => {
    const dispatcher = dispatcherOf(8, 4);
    const prompt = { promptTokens: 4_000, prefixHashes: [...Array(14).keys()] };
    const [first] = grantsIn(dispatcher.offer(ticketOf("a", prompt), 0));
    dispatcher.end(first?.grantId ?? "", { result: "completed", outputTokens: 20 }, 400);
    dispatcher.offer(ticketOf("other"), 500);
    const [second] = grantsIn(dispatcher.offer(ticketOf("b", prompt), 500));
    expect(second?.upstreamId).toEqual(first?.upstreamId);
});

test("a long prompt goes where no stream above it would miss its gap target, or waits", () => {
    const dispatcher = dispatcherOf(1, 8, { maxOversubscribedRequests: 8 });
    dispatcher.offer(ticketOf("question"), 0);
    expect(grantsIn(dispatcher.offer(ticketOf("manual", { tier: 1, promptTokens: 40_000 }), 0))).toEqual([]);
    expect(grantsIn(dispatcher.withdraw("question", 0, 10)).map(it => it.requestId)).toEqual(["manual"]);
});

test("calls that may not be repeated are neither asked back nor sent twice", () => {
    expect(getDispatchOverrides({ kind: "plain", repeatable: false })).toEqual({
        maxOversubscribedRequests: 0,
        isPreemptionEnabled: false,
        isMigrationEnabled: false,
        hedgeShare: 0,
    });
    expect(getDispatchOverrides({ kind: "engine", repeatable: true })).toEqual({});
});
