import { createSeededRandom } from "../../src/core/util/createSeededRandom.js";
import type { SoakFault } from "./SoakFault.js";

/** Kinds of faults, each with its maximum duration in ms; a kind that is listed twice is twice as likely. */
const faultKinds: readonly (readonly [SoakFault["kind"], number])[] = [
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
/** Faults that are drawn apart from the others, so that the plans of earlier seeds stay as they were. */
const laterFaultKinds: typeof faultKinds = [["upstream-busy", 3_000], ["upstream-leaves", 3_500]];
const maxLaterFaults = 3;
const laterSeedOffset = 1_000_000;
/** Restores of the store, drawn apart for the same reason; `durationMs` is the age of the copy. */
const maxRestores = 2;
const maxCopyAgeMs = 3_000;
const restoreSeedOffset = 2_000_000;
/** Probability that a fault is followed by another of its kind, so that signals and changes come in bursts. */
const repeatProbability = 0.4;
const repeatDelayMs = 400;
/** Each SIGTERM is repeated after this delay, while the VM still answers in-flight calls. */
const secondSigtermDelayMs = 700;

/** Draws the faults of one soak from a seed, in order of time; faults can overlap, and some come in bursts. */
export function planSoak(seed: number, options: { readonly targets: number; readonly lengthMs: number; }): readonly SoakFault[] {
    const random = createSeededRandom(seed);
    const drawBelow = (count: number) => Math.floor(random() * count);
    const faults: SoakFault[] = [];
    const count = 5 + drawBelow(6);
    for (let index = 0; index < count; index++) {
        const [kind, maxMs] = faultKinds[drawBelow(faultKinds.length)] ?? ["kill", 0];
        const fault = {
            kind,
            atMs: drawBelow(options.lengthMs),
            durationMs: maxMs === 0 ? 0 : 300 + drawBelow(maxMs - 300),
            target: drawBelow(options.targets),
        };
        faults.push(fault);
        if (kind === "stop") {
            faults.push({ ...fault, atMs: fault.atMs + secondSigtermDelayMs });
        }
        if (random() < repeatProbability) {
            faults.push({ ...fault, atMs: fault.atMs + repeatDelayMs, target: drawBelow(options.targets) });
        }
    }
    const laterRandom = createSeededRandom(seed + laterSeedOffset);
    const drawLaterBelow = (limit: number) => Math.floor(laterRandom() * limit);
    for (let index = drawLaterBelow(maxLaterFaults + 1); index > 0; index--) {
        const [kind, maxMs] = laterFaultKinds[drawLaterBelow(laterFaultKinds.length)] ?? ["upstream-busy", 3_000];
        const durationMs = 300 + drawLaterBelow(maxMs - 300);
        faults.push({ kind, atMs: drawLaterBelow(options.lengthMs), durationMs, target: drawLaterBelow(options.targets) });
    }
    const restoreRandom = createSeededRandom(seed + restoreSeedOffset);
    const drawRestoreBelow = (limit: number) => Math.floor(restoreRandom() * limit);
    for (let index = drawRestoreBelow(maxRestores + 1); index > 0; index--) {
        const durationMs = 300 + drawRestoreBelow(maxCopyAgeMs - 300);
        faults.push({ kind: "store-restores", atMs: drawRestoreBelow(options.lengthMs), durationMs, target: 0 });
    }
    return faults.sort((left, right) => left.atMs - right.atMs);
}
