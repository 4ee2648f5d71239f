import type { RunFigures } from "./RunFigures.js";

const columns: readonly { readonly title: string; readonly valueOf: (run: RunFigures) => number; readonly isFloor: boolean; }[] = [
    { title: "top%", valueOf: run => 100 * meanOf(run.topTierClasses.map(name => run.attainment[name] ?? 0)), isFloor: true },
    { title: "peak%", valueOf: run => 100 * (run.topTierWorstSwing ?? NaN), isFloor: true },
    { title: "other%", valueOf: otherAttainment, isFloor: true },
    { title: "p50 ms", valueOf: run => run.shortFirstTokenP50Ms, isFloor: false },
    { title: "p99 ms", valueOf: run => run.shortFirstTokenP99Ms, isFloor: false },
    { title: "wait99 ms", valueOf: run => run.shortWaitP99Ms, isFloor: false },
    { title: "gap99 ms", valueOf: run => run.shortGapP99Ms, isFloor: false },
    { title: "good tok/s", valueOf: run => run.goodputTokensPerSecond, isFloor: true },
    { title: "waste%", valueOf: run => 100 * run.wastedShare, isFloor: false },
    { title: "redone%", valueOf: run => 100 * run.longRedoneShare, isFloor: false },
    { title: "refused%", valueOf: run => 100 * run.refusedShare, isFloor: false },
    { title: "B/request", valueOf: run => run.controlBytesPerRequest, isFloor: false },
];

/** Formats a text table with the mean over the seeds for each workload and policy, and the worst seed in parentheses. */
export function formatTable(figures: readonly RunFigures[]): string {
    const groups = Map.groupBy(figures, run => `${run.workload.padEnd(24)}${run.policy.padEnd(18)}`);
    const header = "workload".padEnd(24) + "policy".padEnd(18) + columns.map(column => column.title.padStart(16)).join("");
    const lines = [...groups].map(([name, runs]) => name + columns.map(column => formatCell(runs, column).padStart(16)).join(""));
    return [header, ...lines].join("\n");
}

function formatCell(runs: readonly RunFigures[], column: (typeof columns)[number]): string {
    const values = runs.map(column.valueOf).filter(value => !Number.isNaN(value));
    if (values.length === 0) {
        return "-";
    }
    const worst = column.isFloor ? Math.min(...values) : Math.max(...values);
    return `${formatNumber(meanOf(values))} (${formatNumber(worst)})`;
}

function otherAttainment(run: RunFigures): number {
    const others = Object.keys(run.attainment).filter(name => !run.topTierClasses.includes(name));
    return 100 * meanOf(others.map(name => run.attainment[name] as number));
}

function meanOf(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function formatNumber(value: number): string {
    return value >= 100 ? value.toFixed(0) : value.toFixed(1);
}
