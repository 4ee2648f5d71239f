import type { Bound } from "./Bound.js";
import type { BoundCheck } from "./BoundCheck.js";
import type { RunFigures } from "./RunFigures.js";

/** Target size of the fleet, in VMs and requests per second. */
const fleetVms = 330;
const fleetRequestsPerSecond = 1_600;

const policyUnderTest = "orioleshelf";

interface Measure {
    readonly bound: string;
    /** Returns the value for one seed; undefined if the measure does not apply to the workload. */
    readonly valueOf: (runs: SeedRuns) => number | undefined;
}

/** Runs of one workload on one seed, and of the policy under test on the same seed without slowdowns. */
interface SeedRuns {
    readonly ours: RunFigures;
    readonly clairvoyant: RunFigures;
    readonly roundRobin: RunFigures;
    readonly powerOfTwo: RunFigures;
    readonly unslowed: RunFigures | undefined;
}

const measures: readonly Measure[] = [
    { bound: "topTierPeakAttainment", valueOf: ({ ours }) => ours.topTierWorstSwing },
    { bound: "otherAttainmentOfClairvoyant", valueOf: lowestOtherAttainmentRatio },
    { bound: "shortWaitOfRoundRobin", valueOf: ({ ours, roundRobin }) => ours.shortWaitP99Ms / roundRobin.shortWaitP99Ms },
    { bound: "shortWaitOfPowerOfTwo", valueOf: ({ ours, powerOfTwo }) => ours.shortWaitP99Ms / powerOfTwo.shortWaitP99Ms },
    { bound: "goodputOfClairvoyant", valueOf: ({ ours, clairvoyant }) => ours.goodputTokensPerSecond / clairvoyant.goodputTokensPerSecond },
    { bound: "wastedShare", valueOf: ({ ours }) => ours.wastedShare },
    { bound: "longRedoneShare", valueOf: ({ ours }) => ours.longRedoneShare },
    {
        bound: "slowedFirstTokenP99",
        valueOf: ({ ours, unslowed }) => unslowed && ours.shortFirstTokenP99Ms / unslowed.shortFirstTokenP99Ms,
    },
    { bound: "slowedTokenGapP99", valueOf: ({ ours, unslowed }) => unslowed && ours.shortGapP99Ms / unslowed.shortGapP99Ms },
    { bound: "violations", valueOf: ({ ours }) => ours.violations.length },
    { bound: "controlBytesPerVmSecond", valueOf: ({ ours }) => ours.controlBytesPerRequest * fleetRequestsPerSecond / fleetVms },
];

/** Compares the figures of all workloads with the bounds. The mean over the seeds decides; the worst seed is also returned. */
export function checkBounds(figures: readonly RunFigures[], bounds: Readonly<Record<string, Bound>>): readonly BoundCheck[] {
    const workloads = [...new Set(figures.map(run => run.workload))];
    return workloads.flatMap(workload => measures.flatMap(measure => checkOne(figures, workload, measure, bounds[measure.bound])));
}

function checkOne(figures: readonly RunFigures[], workload: string, measure: Measure, bound: Bound | undefined): readonly BoundCheck[] {
    if (bound === undefined) {
        throw new Error(`bounds.json has no entry "${measure.bound}"; add it with its target.`);
    }
    const seeds = [...new Set(figures.map(run => run.seed))];
    const values = seeds.map(seed => measure.valueOf(seedRuns(figures, workload, seed))).filter(value => value !== undefined);
    if (values.length === 0) {
        return [];
    }
    const value = values.reduce((sum, each) => sum + each, 0) / values.length;
    const { atLeast = -Infinity, atMost = Infinity } = bound;
    const isFloor = bound.atLeast !== undefined;
    const worst = isFloor ? Math.min(...values) : Math.max(...values);
    const isMet = value >= atLeast && value <= atMost;
    const limit = isFloor ? `≥ ${atLeast}` : `≤ ${atMost}`;
    return [{ id: `${measure.bound}/${workload}`, value, worst, limit, isMet }];
}

function seedRuns(figures: readonly RunFigures[], workload: string, seed: number): SeedRuns {
    const find = (workloadName: string, policy: string) =>
        figures.find(run => run.workload === workloadName && run.policy === policy && run.seed === seed);
    const ours = find(workload, policyUnderTest);
    const clairvoyant = find(workload, "clairvoyant");
    const roundRobin = find(workload, "round-robin");
    const powerOfTwo = find(workload, "power-of-two");
    if (ours === undefined || clairvoyant === undefined || roundRobin === undefined || powerOfTwo === undefined) {
        throw new Error(
            `Run ${workload} with ${policyUnderTest}, clairvoyant, round-robin and power-of-two on seed ${seed} to check its bounds.`,
        );
    }
    const unslowed = workload.endsWith("-slow") ? find(workload.replace("-slow", "-steady"), policyUnderTest) : undefined;
    return { ours, clairvoyant, roundRobin, powerOfTwo, unslowed };
}

/** Returns the lowest ratio to the clairvoyant policy's attainment among the classes below the top tier. */
function lowestOtherAttainmentRatio({ ours, clairvoyant }: SeedRuns): number | undefined {
    const others = Object.keys(ours.attainment).filter(name => !ours.topTierClasses.includes(name));
    if (others.length === 0) {
        return undefined;
    }
    return Math.min(...others.map(name => (ours.attainment[name] as number) / Math.max(1e-9, clairvoyant.attainment[name] as number)));
}
