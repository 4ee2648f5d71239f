import { readFileSync } from "node:fs";
import { parseArgs } from "node:util";
import * as z from "zod";
import { Bound } from "../policy/Bound.js";
import { BookingBench } from "./BookingBench.js";
import { ConfigBench } from "./ConfigBench.js";
import type { Figure } from "./Figure.js";
import { FleetBench } from "./FleetBench.js";
import { measureMemory } from "./measureMemory.js";

const loads = [
    { bookingsPerSecond: 1, durationMs: 20_000 },
    { bookingsPerSecond: 10, durationMs: 10_000 },
    { bookingsPerSecond: 100, durationMs: 5_000 },
];

async function measure(): Promise<Figure[]> {
    const figures = measureMemory();
    figures.push(...await new ConfigBench().run(), ...await new FleetBench().run());
    for (const { bookingsPerSecond, durationMs } of loads) {
        figures.push(...await new BookingBench().run(bookingsPerSecond, durationMs));
    }
    return figures;
}

/** Figures outside their bounds. Throws when a bound has no figure. */
function findViolations(figures: readonly Figure[]): Figure[] {
    const bounds = z.record(z.string(), Bound).parse(JSON.parse(readFileSync(new URL("bounds.json", import.meta.url), "utf8")));
    const missing = Object.keys(bounds).filter(name => !figures.some(figure => figure.name === name));
    if (missing.length > 0) {
        throw new Error(`bounds.json names figures that were not measured: ${missing.join(", ")}; correct the benchmark or bounds.json`);
    }
    return figures.filter(({ name, value }) => value > (bounds[name]?.atMost ?? Infinity) || value < (bounds[name]?.atLeast ?? -Infinity));
}

const { values: options } = parseArgs({ options: { check: { type: "boolean", default: false } } });
const figures = await measure();
for (const figure of figures) {
    console.log(JSON.stringify(figure));
}
const violations = findViolations(figures);
for (const { name, variant, value, unit } of violations) {
    console.error(`${name} (${variant}) is ${value} ${unit}, outside its bound`);
}
process.exitCode = options.check && violations.length > 0 ? 1 : 0;
