import type { Bound } from "./Bound.js";
import type { BoundCheck } from "./BoundCheck.js";
import type { RunFigures } from "./RunFigures.js";

/** The size that the project is to reach. */
const fleetVms = 330;
const fleetRequestsPerSecond = 1_600;

const ourPolicy = "orioleshelf";

interface Measure {
    readonly bound: string;
    /** Value on one seed; undefined when the measure does not apply to the workload. */
    readonly valueOf: (runs: SeedRuns) => number | undefined;
}

/** Runs of one workload on one seed, and of the same seed without slow-downs. */
interface SeedRuns {
    readonly ours: RunFigures;
    readonly clairvoyant: RunFigures;
    readonly roundRobin: RunFigures;
    readonly powerOfTwo: RunFigures;
    readonly unslowed: RunFigures | undefined;
}

const measures: readonly Measure[] = [
    { bound: "topTierPeakAttainment", valueOf: ({ ours }) => ours.topTierWorstSwing },
    { bound: "otherAttainmentOfClairvoyant", valueOf: worstOtherClass },
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

/** Holds the figures of all workloads against the bounds. The mean over the seeds decides; the worst seed is told. */
export function checkBounds(figures: readonly RunFigures[], bounds: Readonly<Record<string, Bound>>): readonly BoundCheck[] {
    const workloads = [...new Set(figures.map(run => run.workload))];
    return workloads.flatMap(workload => measures.flatMap(measure => checkOne(figures, workload, measure, bounds[measure.bound])));
}

function checkOne(figures: readonly RunFigures[], workload: string, measure: Measure, bound: Bound | undefined): readonly BoundCheck[] {
    if (bound === undefined) {
        throw new Error(`The bounds file has no entry "${measure.bound}"; add it with its target.`);
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
    const ours = find(workload, ourPolicy);
    const clairvoyant = find(workload, "clairvoyant");
    const roundRobin = find(workload, "round-robin");
    const powerOfTwo = find(workload, "power-of-two");
    if (ours === undefined || clairvoyant === undefined || roundRobin === undefined || powerOfTwo === undefined) {
        throw new Error(
            `Run ${workload} with ${ourPolicy}, clairvoyant, round-robin and power-of-two on seed ${seed} to check its bounds.`,
        );
    }
    const unslowed = workload.endsWith("-slow") ? find(workload.replace("-slow", "-steady"), ourPolicy) : undefined;
    return { ours, clairvoyant, roundRobin, powerOfTwo, unslowed };
}

/** The least share of the clairvoyant's attainment among the classes below the top tier. */
function worstOtherClass({ ours, clairvoyant }: SeedRuns): number | undefined {
    const others = Object.keys(ours.attainment).filter(name => !ours.topTierClasses.includes(name));
    if (others.length === 0) {
        return undefined;
    }
    return Math.min(...others.map(name => (ours.attainment[name] as number) / Math.max(1e-9, clairvoyant.attainment[name] as number)));
}
