import { expect } from "earl";
import { test } from "node:test";
import { FakePeerNetwork } from "../../../proof/fakes/FakePeerNetwork.js";
import type { Member } from "../../core/membership/Member.js";
import { choosePlacementVm } from "../../core/relay/choosePlacementVm.js";
import type { Placement } from "../../core/relay/Placement.js";
import type { PlacementRequest } from "../../core/relay/PlacementRequest.js";
import { exampleCall } from "../../core/relay/testing/exampleCall.js";
import { exampleRoute } from "../../core/relay/testing/exampleRoute.js";
import { exampleUpstream } from "../../core/relay/testing/exampleUpstream.js";
import { UpstreamDirectory } from "../../core/relay/UpstreamDirectory.js";
import { UpstreamLoadTracker } from "../../core/relay/UpstreamLoadTracker.js";
import { VirtualScheduler } from "../../core/util/VirtualScheduler.js";
import { PlacementExchange } from "./PlacementExchange.js";

const service = "orders";
const upstreams = [exampleUpstream("u-1"), exampleUpstream("u-2")];

function fleetOf(count: number): Member[] {
    return [...Array(count).keys()].map(index => ({
        vm: `vm-${index}`,
        incarnation: "1",
        availabilityZone: `z${index % 3}`,
        region: "r",
        peerUrl: `ws://vm-${index}`,
        state: "ready",
        configOffset: 0,
    }));
}

/** Two VMs of a fleet: the one that places the calls of the service, and another. Each places on the first candidate. */
function newPair(count: number) {
    const scheduler = new VirtualScheduler();
    const network = new FakePeerNetwork(scheduler, 1);
    const members = fleetOf(count);
    const placing = choosePlacementVm(service, members) ?? "vm-0";
    const asking = members.find(member => member.vm !== placing)?.vm ?? "";
    const placedHere: string[] = [];
    const newVm = (vm: string) => {
        const board = new UpstreamLoadTracker();
        const directory = new UpstreamDirectory();
        upstreams.forEach(upstream => {
            directory.set(upstream);
        });
        const exchange = new PlacementExchange({
            vm,
            loadTracker: board,
            directory,
            links: network.linksOf(vm),
            membership: { members, onChange: () => undefined },
            scheduler,
            placeLocally: ({ candidates, nowMs }): Placement | undefined => {
                placedHere.push(vm);
                const upstream = candidates[0];
                return upstream && { upstream, readMs: 40, waitMs: 7, dueMs: nowMs + 200, delay: 1, reason: "least-loaded" };
            },
        });
        exchange.start(new AbortController().signal);
        return { board, exchange };
    };
    return { scheduler, network, placing, asking, placedHere, owner: newVm(placing), other: newVm(asking) };
}

function requestOf(candidates = upstreams): PlacementRequest {
    return { service, call: exampleCall(), route: exampleRoute(), available: upstreams, candidates, nowMs: 0 };
}

/** Places a call while virtual time passes. */
async function placed({ other, scheduler }: ReturnType<typeof newPair>, candidates = upstreams): Promise<Placement | undefined> {
    const placement = Promise.resolve(other.exchange.place(requestOf(candidates)));
    for (let step = 0; step < 50; step++) {
        scheduler.advance(1);
        await new Promise(resolve => {
            setImmediate(resolve);
        });
    }
    return placement;
}

test("in a small fleet each VM places its own calls", async () => {
    const pair = newPair(9);
    expect((await placed(pair))?.upstream.id).toEqual("u-1");
    expect([pair.placedHere, pair.network.messageCount]).toEqual([[pair.asking], 0]);
});

test("in a large fleet one VM places the calls of all, and counts them from then on", async () => {
    const pair = newPair(30);
    const placement = await placed(pair);
    expect([placement?.upstream.id, placement?.readMs, placement?.waitMs, placement?.delay]).toEqual(["u-1", 40, 7, 1]);
    expect(placement?.dueMs).toEqual(202);
    expect(pair.placedHere).toEqual([pair.placing]);
    expect([
        pair.owner.board.callsInFlight("u-1"),
        pair.owner.board.pendingPrefillMs("u-1", 0),
        pair.owner.board.pendingPrefillMs("u-1", 1),
    ]).toEqual([1, 0, 40]);
    pair.owner.board.applyReport(pair.asking, [["u-1", 1, 1, [0, 0]]], false, 10);
    expect([pair.owner.board.callsInFlight("u-1"), pair.owner.board.pendingPrefillMs("u-1")]).toEqual([1, 0]);
});

test("upstreams that had the call or failed are not chosen again", async () => {
    const pair = newPair(30);
    expect((await placed(pair, upstreams.slice(1)))?.upstream.id).toEqual("u-2");
});

test("when the placing VM is silent, calls are placed here, at first after a wait and then at once", async () => {
    const pair = newPair(30);
    pair.network.cut(pair.asking, pair.placing);
    expect((await placed(pair))?.upstream.id).toEqual("u-1");
    const messages = pair.network.messageCount;
    expect((await placed(pair))?.upstream.id).toEqual("u-1");
    expect([pair.placedHere, pair.network.messageCount - messages]).toEqual([[pair.asking, pair.asking], 0]);
    pair.network.heal();
    pair.scheduler.advance(1_000);
    await placed(pair);
    expect(pair.placedHere.at(-1)).toEqual(pair.placing);
});
