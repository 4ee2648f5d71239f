import { expect } from "earl";
import { describe, test } from "node:test";
import { chooseShard } from "./chooseShard.js";
import type { Shard } from "./Shard.js";

function shardIn(id: string, availabilityZone: string | undefined): Shard {
    return { id, pool: "pumps", availabilityZone, upstreams: [], maxInFlight: 1, kind: "engine", repeatable: true, dispatcherVm: "a" };
}

describe("chooseShard", () => {
    const shards = [shardIn("nadi/0", "nadi"), shardIn("ba/0", "ba")];

    test("stays in the zone while its wait is short", () => {
        const waits = new Map([["nadi/0", 4]]);
        expect(chooseShard(shards, "nadi", shard => waits.get(shard) ?? 0, () => 0)?.id).toEqual("nadi/0");
    });

    test("overflows to another zone when the wait exceeds the hop", () => {
        const waits = new Map([["nadi/0", 50]]);
        expect(chooseShard(shards, "nadi", shard => waits.get(shard) ?? 0, () => 0)?.id).toEqual("ba/0");
    });

    test("comes back when the other zone waits longer", () => {
        const waits = new Map([["nadi/0", 50], ["ba/0", 60]]);
        expect(chooseShard(shards, "nadi", shard => waits.get(shard) ?? 0, () => 0)?.id).toEqual("nadi/0");
    });

    test("two different shards are looked at for any random number", () => {
        const many = [0, 1, 2, 3, 4].map(index => shardIn(`nadi/${index}`, "nadi"));
        for (const number of [0, 0.19, 0.5, 0.99]) {
            const asked = new Set<string>();
            chooseShard(many, "nadi", shard => {
                asked.add(shard);
                return 1;
            }, () => number);
            expect(asked.size).toEqual(2);
        }
    });

    test("a pool without shards has none to choose", () => {
        expect(chooseShard([], "nadi", () => 0, () => 0)).toEqual(undefined);
    });
});
