import { expect } from "earl";
import { test } from "node:test";
import { VirtualScheduler } from "../util/VirtualScheduler.js";
import { computeRetryShare } from "./computeRetryShare.js";
import { FleetSizeEstimate } from "./FleetSizeEstimate.js";
import { simulateRetryShares } from "./testing/simulateRetryShares.js";

const fleets = [{ vmCount: 9, slack: 58 }, { vmCount: 87, slack: 214 }, { vmCount: 195, slack: 430 }, { vmCount: 330, slack: 430 }];
const scenarios = ["all killed at once", "zone cut off", "VMs added", "restarts one after the other"] as const;

// Guards against VMs that each take the share of a small fleet, because they did not know the others when they computed it.
for (const { vmCount, slack } of fleets) {
    test(`${vmCount} VMs never use more than the slack of their fleet in a window`, () => {
        const excesses: string[] = [];
        for (const scenario of scenarios) {
            for (let seed = 1; seed <= 3; seed++) {
                const { usedShare } = simulateRetryShares({ scenario, vmCount, slack, seed });
                if (usedShare > 1) {
                    excesses.push(`${scenario}, seed ${seed}: ${usedShare.toFixed(2)}`);
                }
            }
        }
        expect(excesses).toEqual([]);
    });
}

test("the shares of all VMs add up to the slack, in savings and in what a window brings", () => {
    for (const vms of [1, 9, 87, 195, 300]) {
        const { retriesPerSecond, maxSavedRetries } = computeRetryShare(300, 10_000, vms);
        expect(vms * (retriesPerSecond * 10 + maxSavedRetries)).toBeCloseTo(300, 1e-6);
    }
    expect(computeRetryShare(300, 10_000, undefined)).toEqual({ retriesPerSecond: 0, maxSavedRetries: 1 });
});

test("a VM knows the size of its fleet after a while, does not forget others soon that it has lost sight of, and does not take itself for alone", () => {
    const clock = new VirtualScheduler();
    let members = 1;
    const create = (hasPeers: boolean) => new FleetSizeEstimate({ clock, countMembers: () => members, hasPeers, settleMs: 10_000 });
    const estimate = create(true);
    const single = create(false);
    expect([estimate.vms, single.vms]).toEqual([undefined, undefined]);
    clock.advance(10_000);
    expect([estimate.vms, single.vms]).toEqual([100, 1]);
    members = 9;
    expect(estimate.vms).toEqual(9);
    members = 3;
    clock.advance(300_000);
    expect(estimate.vms).toEqual(9);
    clock.advance(300_000);
    expect(estimate.vms).toEqual(3);
});
