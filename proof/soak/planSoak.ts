import { createSeededRandom } from "../../src/core/util/createSeededRandom.js";
import type { SoakFault } from "./SoakFault.js";

/** Kinds of faults with how long they last at most. */
const kinds: readonly (readonly [SoakFault["kind"], number])[] = [
    ["kill", 0],
    ["stop", 0],
    ["stop", 0],
    ["pause", 2_500],
    ["reload", 0],
    ["store-silent", 3_000],
    ["store-refuses", 3_000],
    ["store-loses-answers", 2_000],
    ["store-forgets", 0],
    ["store-resets", 0],
    ["store-slow", 3_000],
    ["upstream-silent", 2_000],
    ["upstream-one-way", 2_000],
    ["upstream-resets", 0],
    ["upstream-slow", 2_000],
    ["upstream-leaves", 3_500],
    ["configure", 0],
];
/** A fault is followed by another one of its kind this often, so that signals and changes come in series. */
const seriesShare = 0.4;
const seriesGapMs = 400;
/** Each VM that is to stop is told so a second time, while it still answers what is in flight. */
const secondStopMs = 700;

/** Draws the faults of one soak, in order of time: they overlap, and some come in series. */
export function planSoak(seed: number, options: { readonly targets: number; readonly lengthMs: number; }): readonly SoakFault[] {
    const random = createSeededRandom(seed);
    const below = (count: number) => Math.floor(random() * count);
    const faults: SoakFault[] = [];
    const count = 5 + below(6);
    for (let index = 0; index < count; index++) {
        const [kind, maxMs] = kinds[below(kinds.length)] ?? ["kill", 0];
        const fault = {
            kind,
            atMs: below(options.lengthMs),
            forMs: maxMs === 0 ? 0 : 300 + below(maxMs - 300),
            target: below(options.targets),
        };
        faults.push(fault);
        if (kind === "stop") {
            faults.push({ ...fault, atMs: fault.atMs + secondStopMs });
        }
        if (random() < seriesShare) {
            faults.push({ ...fault, atMs: fault.atMs + seriesGapMs, target: below(options.targets) });
        }
    }
    return faults.sort((left, right) => left.atMs - right.atMs);
}
