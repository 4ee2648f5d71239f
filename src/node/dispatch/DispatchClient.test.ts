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

/** One entry VM whose peers are a list of what was sent to them. */
class Harness {
    readonly scheduler = new VirtualScheduler();
    readonly sent: { vm: string; message: PeerMessage; }[] = [];
    ranking = ["a", "b", "self"];
    readonly down = new Set<string>();
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
            return !this.down.has(vm);
        });
        this.dispatch.start(this.controller.signal);
    }

    offersTo(vm: string): number {
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

describe("EntryDispatch", () => {
    test("a grant resolves the ticket and its end is told once", async () => {
        const harness = new Harness();
        const acquired = harness.dispatch.acquire(exampleTicket("r1", "self", maxQueueMs), harness.controller.signal);
        harness.grant("a", "r1", 0);
        const grant = (await acquired)._unsafeUnwrap();
        grant.end({ result: "completed", outputTokens: 5 });
        grant.end({ result: "completed", outputTokens: 5 });
        expect(harness.messagesTo("a", "grantEnd").length).toEqual(1);
    });

    test("a dispatcher that does not answer is passed over, and its late grant is handed back", async () => {
        const harness = new Harness();
        const acquired = harness.dispatch.acquire(exampleTicket("r1", "self", maxQueueMs), harness.controller.signal);
        harness.scheduler.advance(200);
        expect(harness.offersTo("b")).toEqual(1);
        harness.grant("a", "r1", 0);
        expect(harness.messagesTo("a", "grantEnd")).toEqual([
            { type: "grantEnd", shard: "pumps", grantId: "a-r1-0", end: { result: "unused", outputTokens: 0 } },
        ]);
        harness.grant("b", "r1", 1);
        expect((await acquired).isOk()).toEqual(true);
    });

    test("a dispatcher paused after it queued a ticket is found by probes", () => {
        const harness = new Harness();
        harness.dispatch.acquire(exampleTicket("r1", "self", maxQueueMs), harness.controller.signal);
        harness.dispatch.handle("a", { type: "ticketQueued", shard: "pumps", requestId: "r1", attempt: 0, expectedWaitMs: 30 });
        harness.scheduler.advance(150);
        expect(harness.offersTo("b")).toEqual(0);
        harness.scheduler.advance(400);
        expect(harness.offersTo("b")).toEqual(1);
    });

    test("with no link to any peer the VM dispatches by itself", () => {
        const harness = new Harness();
        harness.down.add("a").add("b");
        harness.dispatch.acquire(exampleTicket("r1", "self", maxQueueMs), harness.controller.signal);
        expect(harness.offersTo("self")).toEqual(1);
    });

    test("a VM that refuses to dispatch is passed over", () => {
        const harness = new Harness();
        harness.dispatch.acquire(exampleTicket("r1", "self", maxQueueMs), harness.controller.signal);
        harness.dispatch.handle("a", { type: "ticketRefuse", shard: "pumps", requestId: "r1", attempt: 0, kind: "not-dispatcher" });
        expect(harness.offersTo("b")).toEqual(1);
    });

    test("when the dispatcher leaves the fleet its waiting tickets move and running grants are announced", async () => {
        const harness = new Harness();
        const acquired = harness.dispatch.acquire(exampleTicket("running", "self", maxQueueMs), harness.controller.signal);
        harness.grant("a", "running", 0);
        await acquired;
        harness.dispatch.acquire(exampleTicket("waiting", "self", maxQueueMs), harness.controller.signal);
        harness.ranking = ["b", "self"];
        harness.dispatch.updateMembers(["b", "self"]);
        expect(harness.offersTo("b")).toEqual(1);
        const [adoption] = harness.messagesTo("b", "grantAdopt");
        expect(adoption?.type === "grantAdopt" && adoption.grants.map(grant => grant.grantId)).toEqual(["a-running-0"]);
    });

    test("a ticket no dispatcher answers for is refused after its longest wait", async () => {
        const harness = new Harness();
        harness.ranking = ["self"];
        const acquired = harness.dispatch.acquire(exampleTicket("r1", "self", maxQueueMs), harness.controller.signal);
        harness.scheduler.advance(6_000);
        expect((await acquired)._unsafeUnwrapErr().kind).toEqual("queue-timeout");
        expect(harness.dispatch.waitingCount).toEqual(0);
    });

    test("a caller that goes away withdraws its ticket", async () => {
        const harness = new Harness();
        const caller = new AbortController();
        const acquired = harness.dispatch.acquire(exampleTicket("r1", "self", maxQueueMs), caller.signal);
        caller.abort();
        expect((await acquired)._unsafeUnwrapErr().kind).toEqual("cancelled");
        expect(harness.messagesTo("a", "ticketWithdraw").length).toEqual(1);
    });

    test("the end of an adopted grant is told to every dispatcher that counts it", async () => {
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
