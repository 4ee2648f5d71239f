import { readFileSync } from "node:fs";
import { parseArgs } from "node:util";
import * as z from "zod";
import { measureReaction } from "./measureReaction.js";
import { measureTraffic } from "./measureTraffic.js";
import type { TrafficFigures } from "./TrafficFigures.js";

const sizes = [
    { memberCount: 9, zoneCount: 3 },
    { memberCount: 30, zoneCount: 3 },
    { memberCount: 90, zoneCount: 6 },
    { memberCount: 330, zoneCount: 11 },
];
const durationMs = 60_000;

const Bounds = z.strictObject({
    memberCount: z.int(),
    maxControlBytesPerSecond: z.number(),
    maxGrowthExponent: z.number(),
    maxCrashMs: z.number(),
    maxZoneCutMs: z.number(),
});

const { values } = parseArgs({ options: { check: { type: "boolean", default: false } } });
const bounds = Bounds.parse(JSON.parse(readFileSync(new URL("bounds.json", import.meta.url), "utf8")));
const figures = sizes.map(({ memberCount, zoneCount }) => measureTraffic(memberCount, zoneCount, durationMs));
const reactions = sizes.map(({ memberCount, zoneCount }) => measureReaction(memberCount, zoneCount));
console.table(figures.map(rounded));
console.table(reactions);
for (const figure of figures) {
    console.log(JSON.stringify({ benchmark: "membership", ...rounded(figure) }));
}
for (const reaction of reactions) {
    console.log(JSON.stringify({ benchmark: "membership-reaction", ...reaction }));
}
const exponent = growthExponent(figures);
console.log(JSON.stringify({ benchmark: "membership", growthExponent: Number(exponent.toFixed(2)) }));
if (values.check && !isWithinBounds()) {
    process.exitCode = 1;
}

function isWithinBounds(): boolean {
    const largest = figures.find(figure => figure.memberCount === bounds.memberCount);
    const isSmallEnough = largest !== undefined && largest.wireBytesPerSecond <= bounds.maxControlBytesPerSecond;
    if (!isSmallEnough) {
        console.error(`membership traffic at ${bounds.memberCount} VMs is above ${bounds.maxControlBytesPerSecond} bytes/s a VM`);
    }
    const isFlatEnough = exponent <= bounds.maxGrowthExponent;
    if (!isFlatEnough) {
        console.error(`membership traffic a VM grows with the fleet's size to the power ${exponent}, above ${bounds.maxGrowthExponent}`);
    }
    const slow = reactions.filter(({ crashMs, zoneCutMs }) => crashMs > bounds.maxCrashMs || zoneCutMs > bounds.maxZoneCutMs);
    for (const { memberCount, crashMs, zoneCutMs } of slow) {
        console.error(`a crash took ${crashMs} ms and a zone cut ${zoneCutMs} ms to be seen by ${memberCount} VMs, above the bounds`);
    }
    return isSmallEnough && isFlatEnough && slow.length === 0;
}

/** Exponent of the fleet's size by which the traffic a VM grows from the smallest to the largest fleet; 1 would be all-to-all. */
function growthExponent(all: readonly TrafficFigures[]): number {
    const [first, last] = [all[0], all.at(-1)];
    if (first === undefined || last === undefined) {
        return Infinity;
    }
    return Math.log(last.bytesPerSecond / first.bytesPerSecond) / Math.log(last.memberCount / first.memberCount);
}

function rounded(figure: TrafficFigures): TrafficFigures {
    return Object.fromEntries(
        Object.entries(figure).map(([name, value]) => [name, Math.round(value as number)]),
    ) as unknown as TrafficFigures;
}
