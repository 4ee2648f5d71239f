import { expect } from "earl";
import { describe, test } from "node:test";
import { chooseShard } from "./chooseShard.js";
import type { Shard } from "./Shard.js";

function createShard(id: string, availabilityZone: string | undefined): Shard {
    return { id, pool: "pumps", availabilityZone, upstreams: [], maxInFlight: 1, kind: "engine", repeatable: true, dispatcherVm: "a" };
}

describe("chooseShard", () => {
    const shards = [createShard("nadi/0", "nadi"), createShard("ba/0", "ba")];

    test("stays in its own zone while the local wait is below the cross-zone penalty", () => {
        const waitMsByShard = new Map([["nadi/0", 4]]);
        expect(chooseShard(shards, "nadi", shard => waitMsByShard.get(shard) ?? 0, () => 0)?.id).toEqual("nadi/0");
    });

    test("overflows to another zone when the local wait exceeds the cross-zone penalty", () => {
        const waitMsByShard = new Map([["nadi/0", 50]]);
        expect(chooseShard(shards, "nadi", shard => waitMsByShard.get(shard) ?? 0, () => 0)?.id).toEqual("ba/0");
    });

    test("stays in its own zone when the wait in the other zone is longer", () => {
        const waitMsByShard = new Map([["nadi/0", 50], ["ba/0", 60]]);
        expect(chooseShard(shards, "nadi", shard => waitMsByShard.get(shard) ?? 0, () => 0)?.id).toEqual("nadi/0");
    });

    test("samples two different shards for any random number", () => {
        const localShards = [0, 1, 2, 3, 4].map(index => createShard(`nadi/${index}`, "nadi"));
        for (const randomNumber of [0, 0.19, 0.5, 0.99]) {
            const sampledIds = new Set<string>();
            chooseShard(localShards, "nadi", shard => {
                sampledIds.add(shard);
                return 1;
            }, () => randomNumber);
            expect(sampledIds.size).toEqual(2);
        }
    });

    test("returns undefined for a pool without shards", () => {
        expect(chooseShard([], "nadi", () => 0, () => 0)).toEqual(undefined);
    });
});
