import { readFileSync } from "node:fs";
import { parseArgs } from "node:util";
import * as z from "zod";
import { measureReaction } from "./measureReaction.js";
import { measureTraffic } from "./measureTraffic.js";
import type { TrafficFigures } from "./TrafficFigures.js";

const fleetSizes = [
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
const figures = fleetSizes.map(({ memberCount, zoneCount }) => measureTraffic(memberCount, zoneCount, durationMs));
const reactions = fleetSizes.map(({ memberCount, zoneCount }) => measureReaction(memberCount, zoneCount));
console.table(figures.map(roundFigures));
console.table(reactions);
for (const figure of figures) {
    console.log(JSON.stringify({ benchmark: "membership", ...roundFigures(figure) }));
}
for (const reaction of reactions) {
    console.log(JSON.stringify({ benchmark: "membership-reaction", ...reaction }));
}
const exponent = computeGrowthExponent(figures);
console.log(JSON.stringify({ benchmark: "membership", growthExponent: Number(exponent.toFixed(2)) }));
if (values.check && !isWithinBounds()) {
    process.exitCode = 1;
}

function isWithinBounds(): boolean {
    const largest = figures.find(figure => figure.memberCount === bounds.memberCount);
    const isTrafficWithinBound = largest !== undefined && largest.wireBytesPerSecond <= bounds.maxControlBytesPerSecond;
    if (!isTrafficWithinBound) {
        console.error(
            `membership traffic at ${bounds.memberCount} VMs is above ${bounds.maxControlBytesPerSecond} bytes/s per VM; the check fails`,
        );
    }
    const isGrowthWithinBound = exponent <= bounds.maxGrowthExponent;
    if (!isGrowthWithinBound) {
        console.error(
            `membership traffic per VM grows with the fleet size to the power ${exponent}, above ${bounds.maxGrowthExponent}; the check fails`,
        );
    }
    const slowReactions = reactions.filter(({ crashMs, zoneCutMs }) => crashMs > bounds.maxCrashMs || zoneCutMs > bounds.maxZoneCutMs);
    for (const { memberCount, crashMs, zoneCutMs } of slowReactions) {
        console.error(
            `detection of a crash took ${crashMs} ms and of a zone cut ${zoneCutMs} ms in a fleet of ${memberCount} VMs, above a bound; the check fails`,
        );
    }
    return isTrafficWithinBound && isGrowthWithinBound && slowReactions.length === 0;
}

/** Returns the exponent with which traffic per VM grows with the fleet size, from the smallest to the largest fleet; all-to-all traffic has exponent 1. */
function computeGrowthExponent(figuresBySize: readonly TrafficFigures[]): number {
    const [first, last] = [figuresBySize[0], figuresBySize.at(-1)];
    if (first === undefined || last === undefined) {
        return Infinity;
    }
    return Math.log(last.bytesPerSecond / first.bytesPerSecond) / Math.log(last.memberCount / first.memberCount);
}

function roundFigures(figure: TrafficFigures): TrafficFigures {
    return Object.fromEntries(
        Object.entries(figure).map(([name, value]) => [name, Math.round(value as number)]),
    ) as unknown as TrafficFigures;
}
