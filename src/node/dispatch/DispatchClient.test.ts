import { expect } from "earl";
import { describe, test } from "node:test";
import { VirtualScheduler } from "../../core/util/VirtualScheduler.js";
import type { Upstream } from "../../schema/config/Upstream.js";
import type { PeerMessage } from "../../schema/peer/PeerMessage.js";
import { DispatchClient } from "./DispatchClient.js";
import type { ShardRoutes } from "./ShardRoutes.js";
import { exampleTicket } from "./testing/exampleTicket.js";

const maxQueueMs = 5_000;

const upstream: Upstream = { id: "engine-1", url: "http://127.0.0.1:1", availabilityZone: "nadi", leaving: false };

/** One entry VM with a sender that records the messages for its peers. */
class Harness {
    readonly scheduler = new VirtualScheduler();
    readonly sent: { vm: string; message: PeerMessage; }[] = [];
    ranking = ["a", "b", "self"];
    readonly unreachableVms = new Set<string>();
    readonly controller = new AbortController();
    readonly dispatch: DispatchClient;

    constructor() {
        const routes: ShardRoutes = {
            selectShard: () => "pumps",
            rank: () => this.ranking,
            findUpstream: () => upstream,
            recordExpectedWait: () => undefined,
        };
        this.dispatch = new DispatchClient("self", this.scheduler, routes, (vm, message) => {
            this.sent.push({ vm, message });
            return !this.unreachableVms.has(vm);
        });
        this.dispatch.start(this.controller.signal);
    }

    countOffersTo(vm: string): number {
        return this.messagesTo(vm, "ticketOffer").length;
    }

    messagesTo(vm: string, type: PeerMessage["type"]): PeerMessage[] {
        return this.sent.filter(entry => entry.vm === vm && entry.message.type === type).map(entry => entry.message);
    }

    grant(from: string, requestId: string, attempt: number): void {
        this.dispatch.handle(from, {
            type: "ticketGrant",
            shard: "pumps",
            requestId,
            attempt,
            grantId: `${from}-${requestId}-${attempt}`,
            upstreamId: upstream.id,
            priority: 0,
            expectedWaitMs: 0,
        });
    }
}

describe("DispatchClient", () => {
    test("a grant that is ended twice sends one grantEnd to its dispatcher", async () => {
        const harness = new Harness();
        const acquired = harness.dispatch.acquire(exampleTicket("r1", "self", maxQueueMs), harness.controller.signal);
        harness.grant("a", "r1", 0);
        const grant = (await acquired)._unsafeUnwrap();
        grant.end({ result: "completed", outputTokens: 5 });
        grant.end({ result: "completed", outputTokens: 5 });
        expect(harness.messagesTo("a", "grantEnd").length).toEqual(1);
    });

    test("a ticket moves from an unresponsive dispatcher to the next one, and the late grant of the first is released unused", async () => {
        const harness = new Harness();
        const acquired = harness.dispatch.acquire(exampleTicket("r1", "self", maxQueueMs), harness.controller.signal);
        harness.scheduler.advance(200);
        expect(harness.countOffersTo("b")).toEqual(1);
        harness.grant("a", "r1", 0);
        expect(harness.messagesTo("a", "grantEnd")).toEqual([
            { type: "grantEnd", shard: "pumps", grantId: "a-r1-0", end: { result: "unused", outputTokens: 0 } },
        ]);
        harness.grant("b", "r1", 1);
        expect((await acquired).isOk()).toEqual(true);
    });

    test("probes detect a dispatcher that stops responding after it queued a ticket", () => {
        const harness = new Harness();
        harness.dispatch.acquire(exampleTicket("r1", "self", maxQueueMs), harness.controller.signal);
        harness.dispatch.handle("a", { type: "ticketQueued", shard: "pumps", requestId: "r1", attempt: 0, expectedWaitMs: 30 });
        harness.scheduler.advance(150);
        expect(harness.countOffersTo("b")).toEqual(0);
        harness.scheduler.advance(400);
        expect(harness.countOffersTo("b")).toEqual(1);
    });

    test("a VM without a link to any peer dispatches its own tickets", () => {
        const harness = new Harness();
        harness.unreachableVms.add("a").add("b");
        harness.dispatch.acquire(exampleTicket("r1", "self", maxQueueMs), harness.controller.signal);
        expect(harness.countOffersTo("self")).toEqual(1);
    });

    test("a ticket refused with not-dispatcher is offered to the next VM", () => {
        const harness = new Harness();
        harness.dispatch.acquire(exampleTicket("r1", "self", maxQueueMs), harness.controller.signal);
        harness.dispatch.handle("a", { type: "ticketRefuse", shard: "pumps", requestId: "r1", attempt: 0, kind: "not-dispatcher" });
        expect(harness.countOffersTo("b")).toEqual(1);
    });

    test("when a dispatcher leaves the fleet, the next one is offered its waiting tickets and adopts its running grants", async () => {
        const harness = new Harness();
        const acquired = harness.dispatch.acquire(exampleTicket("running", "self", maxQueueMs), harness.controller.signal);
        harness.grant("a", "running", 0);
        await acquired;
        harness.dispatch.acquire(exampleTicket("waiting", "self", maxQueueMs), harness.controller.signal);
        harness.ranking = ["b", "self"];
        harness.dispatch.updateMembers(["b", "self"]);
        expect(harness.countOffersTo("b")).toEqual(1);
        const [adoptMessage] = harness.messagesTo("b", "grantAdopt");
        expect(adoptMessage?.type === "grantAdopt" && adoptMessage.grants.map(grant => grant.grantId)).toEqual(["a-running-0"]);
    });

    test("a ticket that no dispatcher answers is refused with queue-timeout after maxQueueMs", async () => {
        const harness = new Harness();
        harness.ranking = ["self"];
        const acquired = harness.dispatch.acquire(exampleTicket("r1", "self", maxQueueMs), harness.controller.signal);
        harness.scheduler.advance(6_000);
        expect((await acquired)._unsafeUnwrapErr().kind).toEqual("queue-timeout");
        expect(harness.dispatch.waitingCount).toEqual(0);
    });

    test("a ticket is withdrawn when its caller disconnects", async () => {
        const harness = new Harness();
        const caller = new AbortController();
        const acquired = harness.dispatch.acquire(exampleTicket("r1", "self", maxQueueMs), caller.signal);
        caller.abort();
        expect((await acquired)._unsafeUnwrapErr().kind).toEqual("cancelled");
        expect(harness.messagesTo("a", "ticketWithdraw").length).toEqual(1);
    });

    test("the end of an adopted grant is sent to both the old and the new dispatcher", async () => {
        const harness = new Harness();
        const acquired = harness.dispatch.acquire(exampleTicket("r1", "self", maxQueueMs), harness.controller.signal);
        harness.grant("a", "r1", 0);
        const grant = (await acquired)._unsafeUnwrap();
        harness.ranking = ["b", "self"];
        harness.dispatch.updateMembers(["a", "b", "self"]);
        grant.end({ result: "completed", outputTokens: 1 });
        expect([harness.messagesTo("a", "grantEnd").length, harness.messagesTo("b", "grantEnd").length]).toEqual([1, 1]);
    });
});
