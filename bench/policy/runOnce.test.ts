import { expect } from "earl";
import { test } from "node:test";
import type { Bound } from "./Bound.js";
import { checkBounds } from "./checkBounds.js";
import { runOnce } from "./runOnce.js";
import type { Workload } from "./Workload.js";
import { workloads } from "./workloads.js";

const policyNames = ["round-robin", "power-of-two", "clairvoyant", "orioleshelf"];

function shortenWorkload(name: string): Workload {
    const workload = workloads.find(candidate => candidate.name === name) as Workload;
    return {
        ...workload,
        durationMs: 8_000,
        swings: workload.swings.length > 0 ? [{ fromMs: 2_000, toMs: 5_000, load: 2.5 }] : [],
        cuts: workload.cuts.map(cut => ({ ...cut, fromMs: 3_000, toMs: 5_000 })),
        crashes: workload.crashes.map(crash => ({ ...crash, fromMs: 3_000, toMs: 5_000 })),
    };
}

test("runs with the same seed give equal figures, and runs with different seeds do not", () => {
    const workload = shortenWorkload("vatukoula-swing");
    const first = runOnce(workload, "orioleshelf", 1);
    expect(runOnce(workload, "orioleshelf", 1)).toEqual(first);
    expect(runOnce(workload, "orioleshelf", 2).goodputTokensPerSecond === first.goodputTokensPerSecond).toEqual(false);
});

test("no request is left open or fails and no invariant is violated during a demand swing, an engine crash and a zone cut", () => {
    for (const name of ["maderas-swing", "vatukoula-crash", "maderas-cut"]) {
        const figures = runOnce(shortenWorkload(name), "orioleshelf", 3);
        expect(figures.violations).toEqual([]);
        expect(figures.failedShare).toEqual(0);
    }
});

test("bounds that no figure can meet are reported as missed, and bounds that every figure meets as met", () => {
    const workload = shortenWorkload("vatukoula-swing");
    const figures = policyNames.map(policy => runOnce(workload, policy, 1));
    const names = [
        "topTierPeakAttainment",
        "otherAttainmentOfClairvoyant",
        "shortWaitOfRoundRobin",
        "shortWaitOfPowerOfTwo",
        "goodputOfClairvoyant",
        "wastedShare",
        "longRedoneShare",
        "slowedFirstTokenP99",
        "slowedTokenGapP99",
        "violations",
        "controlBytesPerVmSecond",
    ];
    const boundsWith = (bound: Bound) => Object.fromEntries(names.map(name => [name, bound]));
    expect(checkBounds(figures, boundsWith({ atMost: 1e9, target: "" })).every(check => check.isMet)).toEqual(true);
    expect(checkBounds(figures, boundsWith({ atMost: -1, target: "" })).some(check => check.isMet)).toEqual(false);
    expect(checkBounds(figures, boundsWith({ atLeast: 1e9, target: "" })).some(check => check.isMet)).toEqual(false);
});
