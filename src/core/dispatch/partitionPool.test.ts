import { expect } from "earl";
import { test } from "node:test";
import type { Pool } from "../../schema/config/Pool.js";
import type { Member } from "../membership/Member.js";
import { partitionPool } from "./partitionPool.js";

const zones = ["lautoka", "nadi", "ba"];

function poolOf(engineCount: number): Pool {
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

function membersOf(count: number): readonly Member[] {
    return [...Array(count).keys()].map(index => ({
        vm: `vm-${index}`,
        incarnation: "1",
        availabilityZone: zones[index % zones.length] as string,
        region: "fiji-west",
        peerUrl: `ws://10.1.0.${index}:7000`,
        state: "ready" as const,
        configOffset: 0,
    }));
}

test("a small pool is one shard over its zones; a large one is cut inside zones", () => {
    expect(partitionPool(poolOf(13), membersOf(8)).map(shard => shard.upstreams.length)).toEqual([13]);
    const shards = partitionPool(poolOf(360), membersOf(60));
    expect(shards.flatMap(shard => shard.upstreams).length).toEqual(360);
    for (const shard of shards) {
        expect(shard.upstreams.length <= 16).toEqual(true);
        expect(shard.upstreams.every(upstream => upstream.availabilityZone === shard.availabilityZone)).toEqual(true);
    }
});

test("the order of members does not matter, and a VM that leaves moves its own shards only", () => {
    const pool = poolOf(360);
    const members = membersOf(60);
    const before = partitionPool(pool, members);
    expect(partitionPool(pool, [...members].reverse())).toEqual(before);
    const gone = before[0]?.dispatcherVm;
    const after = partitionPool(pool, members.filter(member => member.vm !== gone));
    for (const [index, shard] of before.entries()) {
        if (shard.dispatcherVm !== gone) {
            expect(after[index]?.dispatcherVm).toEqual(shard.dispatcherVm);
        }
    }
});

test("without a ready member a shard has no dispatcher", () => {
    expect(partitionPool(poolOf(3), []).map(shard => shard.dispatcherVm)).toEqual([undefined]);
});
