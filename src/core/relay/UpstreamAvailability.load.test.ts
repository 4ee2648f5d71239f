import { expect } from "earl";
import { test } from "node:test";
import { simulateSheddingUpstreams } from "./testing/simulateSheddingUpstreams.js";

for (let seed = 1; seed <= 5; seed++) {
    test(`callers are served by the other upstreams while two of six turn all calls away (seed ${seed})`, () => {
        const workload = { seed, load: 0.5, sheddingUpstreams: 2 };
        const before = simulateSheddingUpstreams({ ...workload, followsPauses: false });
        const after = simulateSheddingUpstreams({ ...workload, followsPauses: true });
        expect(after.mostCallsInPause <= 2).toEqual(true);
        expect(before.mostCallsInPause > 2).toEqual(true);
        expect(after.refusedShare < before.refusedShare / 4).toEqual(true);
        expect(after.onTimeShare > 0.95).toEqual(true);
    });

    test(`pauses cost callers little beside an overload of all upstreams (seed ${seed})`, () => {
        const workload = { seed, load: 1.15, sheddingUpstreams: 0 };
        const before = simulateSheddingUpstreams({ ...workload, followsPauses: false });
        const after = simulateSheddingUpstreams({ ...workload, followsPauses: true });
        expect(after.mostCallsInPause <= 2).toEqual(true);
        expect(after.onTimeShare > before.onTimeShare - 0.05).toEqual(true);
    });
}
