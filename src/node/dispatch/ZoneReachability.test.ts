import { expect } from "earl";
import { describe, test } from "node:test";
import type { Member } from "../../core/membership/Member.js";
import { VirtualScheduler } from "../../core/util/VirtualScheduler.js";
import { Pool } from "../../schema/config/Pool.js";
import { ZoneReachability } from "./ZoneReachability.js";

const pool = Pool.parse({
    name: "pumps",
    path: "new",
    kind: "engine",
    services: ["pumpline-model"],
    upstreams: ["lautoka", "nadi", "ba"].map(availabilityZone => ({
        id: availabilityZone,
        url: `http://${availabilityZone}`,
        availabilityZone,
    })),
    repeatable: true,
});

function membersIn(...zones: string[]): Member[] {
    return zones.map(availabilityZone => ({
        vm: `${availabilityZone}-1`,
        incarnation: "1",
        availabilityZone,
        region: "fiji-west",
        peerUrl: "",
        state: "ready",
        configOffset: 0,
    }));
}

function start(reachable: Set<string>) {
    const scheduler = new VirtualScheduler();
    let changes = 0;
    const reach = new ZoneReachability(scheduler, url => Promise.resolve(reachable.has(url)), () => {
        changes++;
    });
    reach.start(new AbortController().signal);
    return { scheduler, reach, changeCount: () => changes };
}

describe("ZoneReach", () => {
    test("a zone that is cut off gets no work until its VMs are in view again", async () => {
        const { scheduler, reach } = start(new Set());
        reach.update([pool], membersIn("nadi", "ba", "lautoka"));
        expect([...reach.unreachableUpstreamZones]).toEqual([]);
        reach.update([pool], membersIn("nadi", "ba"));
        expect([...reach.unreachableUpstreamZones]).toEqual(["lautoka"]);
        await scheduler.advanceAsync(5_000);
        expect([...reach.unreachableUpstreamZones]).toEqual(["lautoka"]);
        reach.update([pool], membersIn("nadi", "ba", "lautoka"));
        expect([...reach.unreachableUpstreamZones]).toEqual([]);
    });

    test("a zone that lost its VMs alone gets work again once a probe gets through", async () => {
        const { scheduler, reach, changeCount } = start(new Set(["http://lautoka"]));
        reach.update([pool], membersIn("nadi", "ba"));
        await scheduler.advanceAsync(10);
        expect([[...reach.unreachableUpstreamZones], changeCount()]).toEqual([[], 1]);
        reach.update([pool], membersIn("nadi", "ba"));
        expect([...reach.unreachableUpstreamZones]).toEqual([]);
    });

    test("a zone whose engines stop answering later is out of reach then", async () => {
        const reachable = new Set(["http://lautoka"]);
        const { scheduler, reach } = start(reachable);
        reach.update([pool], membersIn("nadi", "ba"));
        await scheduler.advanceAsync(10);
        reachable.clear();
        await scheduler.advanceAsync(2_000);
        expect([...reach.unreachableUpstreamZones]).toEqual(["lautoka"]);
    });

    test("with no VM in view nothing is ruled out", () => {
        const { reach } = start(new Set());
        reach.update([pool], []);
        expect([...reach.unreachableUpstreamZones]).toEqual([]);
    });
});
