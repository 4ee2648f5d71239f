import { expect } from "earl";
import { test } from "node:test";
import { simulateFollowers } from "./testing/simulateFollowers.js";

for (let seed = 1; seed <= 8; seed++) {
    test(`VMs short of processor time lose no record of the configuration or the upstreams (seed ${seed})`, async () => {
        const { failures, cases } = await simulateFollowers(seed);
        expect(failures).toEqual([]);
        expect(Object.entries(cases).filter(([, count]) => count === 0)).toEqual([]);
    });
}
