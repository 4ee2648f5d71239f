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

function createTicket(requestId: string, fields: Partial<Ticket> = {}): Ticket {
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

function createDispatcher(engineCount: number, maxInFlight: number, options: Partial<DispatchOptions> = {}): ShardDispatcher {
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

function selectGrants(actions: readonly DispatchAction[]): readonly Extract<DispatchAction, { type: "grant"; }>[] {
    return actions.filter(action => action.type === "grant");
}

test("a ticket is granted at once while a slot is free, and a repeated offer returns that grant without taking a second slot", () => {
    const dispatcher = createDispatcher(1, 1);
    const [first] = selectGrants(dispatcher.offer(createTicket("a"), 0));
    const [repeated] = selectGrants(dispatcher.offer(createTicket("a"), 1));
    expect(repeated?.grantId).toEqual(first?.grantId);
    expect(dispatcher.inFlight().get("engine-0")).toEqual(1);
});

test("a free slot goes to the highest tier first, and within a tier to the ticket with the least slack", () => {
    const dispatcher = createDispatcher(1, 1);
    const [held] = selectGrants(dispatcher.offer(createTicket("held"), 0));
    dispatcher.offer(createTicket("low", { tier: 1 }), 1);
    dispatcher.offer(createTicket("loose"), 2);
    dispatcher.offer(createTicket("tight", { waitedMs: 200 }), 3);
    const order: string[] = [];
    let next = held;
    while (next !== undefined) {
        [next] = selectGrants(dispatcher.endGrant(next.grantId, { result: "completed", outputTokens: 10 }, 10));
        order.push(next?.requestId ?? "end");
    }
    expect(order).toEqual(["tight", "loose", "low", "end"]);
});

test("a ticket that is still waiting at its maximum queue time is refused with queue-timeout", () => {
    const dispatcher = createDispatcher(1, 1);
    dispatcher.offer(createTicket("held"), 0);
    dispatcher.offer(createTicket("waits", { tier: 1, maxQueueMs: 500 }), 0);
    expect(dispatcher.tick(499)).toEqual([]);
    const [refusal] = dispatcher.tick(500);
    expect(refusal?.type === "refuse" && refusal.kind).toEqual("queue-timeout");
});

test("no slot leaks when a grant is unused, its request is withdrawn or its entry VM is lost", () => {
    const dispatcher = createDispatcher(1, 1);
    const [first] = selectGrants(dispatcher.offer(createTicket("a"), 0));
    dispatcher.offer(createTicket("b"), 0);
    dispatcher.offer(createTicket("c", { entryVm: "vm-2" }), 0);
    dispatcher.offer(createTicket("d", { entryVm: "vm-2" }), 0);
    dispatcher.offer(createTicket("e"), 0);
    expect(selectGrants(dispatcher.endGrant(first?.grantId ?? "", { result: "unused", outputTokens: 0 }, 1)).map(grant => grant.requestId))
        .toEqual(["b"]);
    expect(selectGrants(dispatcher.withdraw("b", 0, 2)).map(grant => grant.requestId)).toEqual(["c"]);
    expect(selectGrants(dispatcher.dropEntryVm("vm-2", 3)).map(grant => grant.requestId)).toEqual(["e"]);
});

test("a new dispatcher counts adopted grants, so that an engine does not get more requests than slots after a failover", () => {
    const dispatcher = createDispatcher(1, 1);
    const adopted = { grantId: "old/1", ticket: createTicket("a"), upstreamId: "engine-0", ageMs: 50, outputTokens: 3, firstTokenMs: 40 };
    dispatcher.adopt([adopted], 0);
    expect(dispatcher.offer(createTicket("b"), 1)).toEqual([]);
    expect(selectGrants(dispatcher.endGrant("old/1", { result: "completed", outputTokens: 9 }, 2)).map(grant => grant.requestId)).toEqual([
        "b",
    ]);
});

test("a leaving engine gets no new grants, even with free slots", () => {
    const dispatcher = createDispatcher(1, 2);
    dispatcher.offer(createTicket("a"), 0);
    dispatcher.setUpstreams([{ id: "engine-0", availabilityZone: "nadi", maxInFlight: 2, leaving: true }], 1);
    expect(dispatcher.offer(createTicket("b"), 2)).toEqual([]);
});

test("a late ticket waits behind on-time ones but is not starved: it gets one grant in nine", () => {
    const dispatcher = createDispatcher(1, 1);
    let [activeGrant] = selectGrants(dispatcher.offer(createTicket("held"), 0));
    dispatcher.offer(createTicket("late", { waitedMs: 440 }), 0);
    const order: string[] = [];
    for (let count = 0; count < 10; count++) {
        dispatcher.offer(createTicket(`on-time-${count}`), 20);
    }
    while (activeGrant !== undefined) {
        [activeGrant] = selectGrants(dispatcher.endGrant(activeGrant.grantId, { result: "cancelled", outputTokens: 0 }, 20));
        order.push(activeGrant?.requestId ?? "end");
    }
    // The grant of "held" was the first of the eight on-time grants before the late one.
    expect(order.indexOf("late")).toEqual(7);
});

test("a class under its floor gets the next slot, even while tickets of a higher tier wait", () => {
    const dispatcher = createDispatcher(1, 2);
    dispatcher.setClasses([classes[0] as ServiceClass, { ...(classes[1] as ServiceClass), floorShare: 0.5 }]);
    const [first] = selectGrants(dispatcher.offer(createTicket("a"), 0));
    dispatcher.offer(createTicket("b"), 0);
    dispatcher.offer(createTicket("c"), 0);
    dispatcher.offer(createTicket("low", { tier: 1 }), 0);
    expect(
        selectGrants(dispatcher.endGrant(first?.grantId ?? "", { result: "cancelled", outputTokens: 0 }, 1)).map(grant => grant.requestId),
    )
        .toEqual(["low"]);
});

test("with early refusal, a ticket is refused once its first-token target cannot be met, but a resumed one is not", () => {
    const dispatcher = createDispatcher(1, 1);
    dispatcher.setClasses(classes.map(serviceClass => ({ ...serviceClass, refuseEarly: true })));
    dispatcher.offer(createTicket("held"), 0);
    dispatcher.offer(createTicket("fresh"), 0);
    dispatcher.offer(createTicket("resumed", { isResumed: true }), 0);
    const refusals = dispatcher.tick(449).filter(action => action.type === "refuse");
    expect(refusals.map(refusal => `${refusal.requestId} ${refusal.kind}`)).toEqual(["fresh target-unreachable"]);
    expect((refusals[0]?.retryAfterMs ?? 0) > 0).toEqual(true);
});

test("an engine is oversubscribed for a higher tier only, and the lower tier keeps its floor", () => {
    const dispatcher = createDispatcher(1, 4, { maxOversubscribedRequests: 4 });
    dispatcher.setClasses([classes[0] as ServiceClass, { ...(classes[1] as ServiceClass), floorShare: 0.25 }]);
    const offerAndCountGrants = (id: string, tier: number) => selectGrants(dispatcher.offer(createTicket(id, { tier }), 0)).length;
    expect([0, 1, 2, 3, 4].map(index => offerAndCountGrants(`low-${index}`, 1))).toEqual([1, 1, 1, 1, 0]);
    expect([0, 1, 2, 3].map(index => offerAndCountGrants(`high-${index}`, 0))).toEqual([1, 1, 1, 0]);
});

test("without oversubscription, a lower-tier stream is preempted for a ticket about to miss its target, but not below the floor", () => {
    const dispatcher = createDispatcher(1, 2, { isPreemptionEnabled: true });
    dispatcher.setClasses([classes[0] as ServiceClass, { ...(classes[1] as ServiceClass), floorShare: 0.5 }]);
    dispatcher.offer(createTicket("low-1", { tier: 1, promptTokens: 900 }), 0);
    dispatcher.offer(createTicket("low-2", { tier: 1, promptTokens: 500 }), 0);
    expect(dispatcher.offer(createTicket("high-1", { waitedMs: 400 }), 0).map(action => `${action.type} ${action.requestId}`)).toEqual([
        "preempt low-2",
    ]);
    expect(dispatcher.offer(createTicket("high-2", { waitedMs: 400 }), 0)).toEqual([]);
});

test("a stream is migrated off a slow engine after two slow token gaps, and a new ticket avoids that engine", () => {
    const dispatcher = createDispatcher(3, 4);
    const grants = [0, 1, 2].flatMap(index => selectGrants(dispatcher.offer(createTicket(`r-${index}`), 0)));
    const slowGrant = grants[0];
    for (const { grantId } of grants) {
        dispatcher.recordProgress(grantId, 1, 40, 40);
    }
    expect(dispatcher.recordProgress(slowGrant?.grantId ?? "", 3, 40, 200, 120)).toEqual([]);
    const [preemption] = dispatcher.recordProgress(slowGrant?.grantId ?? "", 4, 40, 320, 120);
    expect(preemption?.type === "preempt" && preemption.reason).toEqual("slow-upstream");
    const [next] = selectGrants(dispatcher.offer(createTicket("next"), 330));
    expect(next?.upstreamId === slowGrant?.upstreamId).toEqual(false);
});

test("a stream stays on a slow engine when its ticket excludes all others, as no engine could continue it", () => {
    const dispatcher = createDispatcher(3, 4);
    const excludedUpstreams = ["engine-1", "engine-2"];
    const grants = [
        createTicket("twice-migrated", { excludedUpstreams, isResumed: true }),
        createTicket("r-1", { excludedUpstreams: ["engine-0", "engine-2"] }),
        createTicket("r-2", { excludedUpstreams: ["engine-0", "engine-1"] }),
    ].flatMap(ticket => selectGrants(dispatcher.offer(ticket, 0)));
    expect(grants.map(grant => grant.upstreamId)).toEqual(["engine-0", "engine-1", "engine-2"]);
    for (const { grantId } of grants) {
        dispatcher.recordProgress(grantId, 1, 40, 40);
    }
    const slowGrantId = grants[0]?.grantId ?? "";
    for (const [tokens, atMs] of [[3, 200], [4, 320], [5, 440], [6, 560]] as const) {
        expect(dispatcher.recordProgress(slowGrantId, tokens, 40, atMs, 120)).toEqual([]);
    }
});

test("a short request with a late first token is hedged only once, and ending the first grant frees its slot and keeps the hedge", () => {
    const dispatcher = createDispatcher(2, 4, { hedgeShare: 0.5, isMigrationEnabled: false });
    const [grant] = selectGrants(dispatcher.offer(createTicket("a"), 0));
    expect(dispatcher.tick(60)).toEqual([]);
    const [hedge] = dispatcher.tick(120).filter(action => action.type === "hedge");
    expect(hedge !== undefined && hedge.upstreamId !== grant?.upstreamId).toEqual(true);
    expect(dispatcher.tick(130)).toEqual([]);
    dispatcher.endGrant(grant?.grantId ?? "", { result: "cancelled", outputTokens: 0 }, 150);
    expect(dispatcher.inFlight().get(grant?.upstreamId ?? "")).toEqual(0);
    const [repeated] = selectGrants(dispatcher.offer(createTicket("a"), 160));
    expect(repeated?.grantId).toEqual(hedge?.grantId);
});

test("a prompt goes to the engine that has its blocks in the prefix cache", () => {
    const dispatcher = createDispatcher(8, 4);
    const prompt = { promptTokens: 4_000, prefixHashes: [...Array(14).keys()] };
    const [first] = selectGrants(dispatcher.offer(createTicket("a", prompt), 0));
    dispatcher.endGrant(first?.grantId ?? "", { result: "completed", outputTokens: 20 }, 400);
    dispatcher.offer(createTicket("other"), 500);
    const [second] = selectGrants(dispatcher.offer(createTicket("b", prompt), 500));
    expect(second?.upstreamId).toEqual(first?.upstreamId);
});

test("a long prompt waits while its prefill would make a more urgent stream miss its token gap target", () => {
    const dispatcher = createDispatcher(1, 8, { maxOversubscribedRequests: 8 });
    dispatcher.offer(createTicket("question"), 0);
    expect(selectGrants(dispatcher.offer(createTicket("manual", { tier: 1, promptTokens: 40_000 }), 0))).toEqual([]);
    expect(selectGrants(dispatcher.withdraw("question", 0, 10)).map(grant => grant.requestId)).toEqual(["manual"]);
});

test("non-repeatable calls of a plain service are neither paused, preempted, migrated nor hedged", () => {
    expect(getDispatchOverrides({ kind: "plain", repeatable: false })).toEqual({
        maxOversubscribedRequests: 0,
        isPreemptionEnabled: false,
        isMigrationEnabled: false,
        hedgeShare: 0,
    });
    expect(getDispatchOverrides({ kind: "engine", repeatable: true })).toEqual({});
});
