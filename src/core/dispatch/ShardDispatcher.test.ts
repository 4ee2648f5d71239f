import { expect } from "earl";
import { test } from "node:test";
import { ServiceClass } from "../../schema/config/ServiceClass.js";
import type { Ticket } from "../../schema/peer/Ticket.js";
import { defaultDispatchOptions } from "./defaultDispatchOptions.js";
import type { DispatchAction } from "./DispatchAction.js";
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

function dispatcherOf(engineCount: number, maxInFlight: number): ShardDispatcher {
    const dispatcher = new ShardDispatcher({ ...defaultDispatchOptions, preemption: false }, () => 0);
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
