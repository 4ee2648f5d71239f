import { expect } from "earl";
import { test } from "node:test";
import type { Pool } from "../../schema/config/Pool.js";
import type { Member } from "../membership/Member.js";
import { partitionPool } from "./partitionPool.js";

const zones = ["lautoka", "nadi", "ba"];

function createPool(engineCount: number): Pool {
    const upstreams = [...Array(engineCount).keys()].map(index => ({
        id: `engine-${index}`,
        url: `http://10.0.0.${index % 250}:8000`,
        availabilityZone: zones[index % zones.length] as string,
        leaving: false,
    }));
    return {
        name: "pumpline",
        path: "new",
        kind: "engine",
        services: ["pumpline-model"],
        upstreams,
        repeatable: true,
        deduplicatesByKey: false,
        checksFencing: false,
        maxInFlight: 16,
        placements: [],
    };
}

function createMembers(count: number): readonly Member[] {
    return [...Array(count).keys()].map(index => ({
        vm: `vm-${index}`,
        incarnation: "1",
        availabilityZone: zones[index % zones.length] as string,
        region: "fiji-west",
        peerUrl: `ws://10.1.0.${index}:7000`,
        processorShare: 1,
        state: "ready" as const,
        configOffset: 0,
    }));
}

test("a small pool is one shard across zones, and no shard of a large pool spans zones or exceeds the size limit", () => {
    expect(partitionPool(createPool(13), createMembers(8)).map(shard => shard.upstreams.length)).toEqual([13]);
    const shards = partitionPool(createPool(360), createMembers(60));
    expect(shards.flatMap(shard => shard.upstreams).length).toEqual(360);
    for (const shard of shards) {
        expect(shard.upstreams.length <= 16).toEqual(true);
        expect(shard.upstreams.every(upstream => upstream.availabilityZone === shard.availabilityZone)).toEqual(true);
    }
});

test("the order of members does not change the dispatchers, and a VM that leaves moves only its own shards", () => {
    const pool = createPool(360);
    const members = createMembers(60);
    const before = partitionPool(pool, members);
    expect(partitionPool(pool, [...members].reverse())).toEqual(before);
    const leavingVm = before[0]?.dispatcherVm;
    const after = partitionPool(pool, members.filter(member => member.vm !== leavingVm));
    for (const [index, shard] of before.entries()) {
        if (shard.dispatcherVm !== leavingVm) {
            expect(after[index]?.dispatcherVm).toEqual(shard.dispatcherVm);
        }
    }
});

test("a shard has no dispatcher when no member is ready", () => {
    expect(partitionPool(createPool(3), []).map(shard => shard.dispatcherVm)).toEqual([undefined]);
});
