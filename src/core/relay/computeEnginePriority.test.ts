import { expect } from "earl";
import { test } from "node:test";
import { computeEnginePriority } from "./computeEnginePriority.js";
import { computeTierRank } from "./computeTierRank.js";
import { RouteTable } from "./RouteTable.js";
import { exampleConfig } from "./testing/exampleConfig.js";
import { exampleRoute } from "./testing/exampleRoute.js";

const delays = [0, 1, 2, 3];

test("the longest prompt of a tier is more urgent than the shortest of the next tier, for any number of tiers", () => {
    for (let count = 1; count <= 10; count++) {
        const tiers = [...Array(count).keys()].map(index => index * 3);
        const urgencies = tiers.map(tier => delays.map(delay => computeEnginePriority(tier, delay, tiers)));
        for (const [index, ofTier] of urgencies.entries()) {
            expect(ofTier.every(urgency => urgency >= 0 && urgency <= 9)).toEqual(true);
            const next = urgencies[index + 1];
            expect(next === undefined || Math.max(...ofTier) < Math.min(...next)).toEqual(true);
        }
    }
});

test("with two tiers every delay counts", () => {
    expect(delays.map(delay => computeEnginePriority(1, delay, [0, 1]))).toEqual([5, 6, 7, 8]);
});

test("more tiers than classes keep their order", () => {
    const tiers = [...Array(14).keys()];
    const urgencies = tiers.map(tier => computeEnginePriority(tier, 3, tiers));
    expect(urgencies).toEqual([...urgencies].sort((left, right) => left - right));
    expect(Math.max(...urgencies)).toEqual(9);
});

test("of calls of one customer those of the more urgent route come first, whatever the size, and customers come before routes", () => {
    const { streamTierRanks: streamRanks } = new RouteTable(exampleConfig({
        routes: [exampleRoute({ name: "short", kind: "stream", tier: 0 }), exampleRoute({ name: "long", kind: "stream", tier: 1 })],
        customers: [{ name: "ana", keys: ["k1"], tier: 0 }, { name: "ben", keys: ["k2"], tier: 1 }],
    }));
    const urgencies = [[0, 0], [0, 1], [1, 0], [1, 1]].map(([tier = 0, routeTier = 0]) =>
        delays.map(delay => computeEnginePriority(computeTierRank(tier, routeTier), delay, streamRanks))
    );
    expect(urgencies).toEqual([[0, 1, 1, 1], [2, 3, 3, 3], [4, 5, 5, 5], [6, 7, 7, 7]]);
});
