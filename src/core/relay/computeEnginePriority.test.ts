import { expect } from "earl";
import { test } from "node:test";
import { computeEnginePriority } from "./computeEnginePriority.js";
import { computeTierRank } from "./computeTierRank.js";
import { RouteTable } from "./RouteTable.js";
import { exampleConfig } from "./testing/exampleConfig.js";
import { exampleRoute } from "./testing/exampleRoute.js";

const priorityOffsets = [0, 1, 2, 3];

test("the longest prompt of a tier is more urgent than the shortest one of the next tier, for up to ten tiers", () => {
    for (let count = 1; count <= 10; count++) {
        const tiers = [...Array(count).keys()].map(index => index * 3);
        const priorities = tiers.map(tier => priorityOffsets.map(priorityOffset => computeEnginePriority(tier, priorityOffset, tiers)));
        for (const [index, tierPriorities] of priorities.entries()) {
            expect(tierPriorities.every(priority => priority >= 0 && priority <= 9)).toEqual(true);
            const next = priorities[index + 1];
            expect(next === undefined || Math.max(...tierPriorities) < Math.min(...next)).toEqual(true);
        }
    }
});

test("two tiers leave a separate priority level for each priority offset", () => {
    expect(priorityOffsets.map(priorityOffset => computeEnginePriority(1, priorityOffset, [0, 1]))).toEqual([5, 6, 7, 8]);
});

test("more tiers than priority levels keep their order", () => {
    const tiers = [...Array(14).keys()];
    const priorities = tiers.map(tier => computeEnginePriority(tier, 3, tiers));
    expect(priorities).toEqual([...priorities].sort((left, right) => left - right));
    expect(Math.max(...priorities)).toEqual(9);
});

test("calls rank by customer tier, then by route tier, whatever the prompt length", () => {
    const { streamTierRanks: ranks } = new RouteTable(exampleConfig({
        routes: [exampleRoute({ name: "short", kind: "stream", tier: 0 }), exampleRoute({ name: "long", kind: "stream", tier: 1 })],
        customers: [{ name: "ana", keys: ["k1"], tier: 0 }, { name: "ben", keys: ["k2"], tier: 1 }],
    }));
    const priorities = [[0, 0], [0, 1], [1, 0], [1, 1]].map(([tier = 0, routeTier = 0]) =>
        priorityOffsets.map(priorityOffset => computeEnginePriority(computeTierRank(tier, routeTier), priorityOffset, ranks))
    );
    expect(priorities).toEqual([[0, 1, 1, 1], [2, 3, 3, 3], [4, 5, 5, 5], [6, 7, 7, 7]]);
});
