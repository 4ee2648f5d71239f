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

function createMembers(...zones: string[]): Member[] {
    return zones.map(availabilityZone => ({
        vm: `${availabilityZone}-1`,
        incarnation: "1",
        availabilityZone,
        region: "fiji-west",
        peerUrl: "",
        processorShare: 1,
        state: "ready",
        configOffset: 0,
    }));
}

function startReachability(reachable: Set<string>) {
    const scheduler = new VirtualScheduler();
    let changeCount = 0;
    const reachability = new ZoneReachability(scheduler, url => Promise.resolve(reachable.has(url)), () => {
        changeCount++;
    });
    reachability.start(new AbortController().signal);
    return { scheduler, reachability, changeCount: () => changeCount };
}

describe("ZoneReachability", () => {
    test("a partitioned zone stays unreachable until its VMs are members again", async () => {
        const { scheduler, reachability } = startReachability(new Set());
        reachability.update([pool], createMembers("nadi", "ba", "lautoka"));
        expect([...reachability.unreachableUpstreamZones]).toEqual([]);
        reachability.update([pool], createMembers("nadi", "ba"));
        expect([...reachability.unreachableUpstreamZones]).toEqual(["lautoka"]);
        await scheduler.advanceAsync(5_000);
        expect([...reachability.unreachableUpstreamZones]).toEqual(["lautoka"]);
        reachability.update([pool], createMembers("nadi", "ba", "lautoka"));
        expect([...reachability.unreachableUpstreamZones]).toEqual([]);
    });

    test("a zone that lost only its VMs is reachable again once a probe connects to one of its upstreams", async () => {
        const { scheduler, reachability, changeCount } = startReachability(new Set(["http://lautoka"]));
        reachability.update([pool], createMembers("nadi", "ba"));
        await scheduler.advanceAsync(10);
        expect([[...reachability.unreachableUpstreamZones], changeCount()]).toEqual([[], 1]);
        reachability.update([pool], createMembers("nadi", "ba"));
        expect([...reachability.unreachableUpstreamZones]).toEqual([]);
    });

    test("a zone without VMs becomes unreachable when its upstreams stop accepting connections", async () => {
        const reachable = new Set(["http://lautoka"]);
        const { scheduler, reachability } = startReachability(reachable);
        reachability.update([pool], createMembers("nadi", "ba"));
        await scheduler.advanceAsync(10);
        reachable.clear();
        await scheduler.advanceAsync(2_000);
        expect([...reachability.unreachableUpstreamZones]).toEqual(["lautoka"]);
    });

    test("every zone counts as reachable while there are no members", () => {
        const { reachability } = startReachability(new Set());
        reachability.update([pool], []);
        expect([...reachability.unreachableUpstreamZones]).toEqual([]);
    });
});
