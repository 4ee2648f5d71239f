import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Leading outputs that are skipped, as generators with different small seeds start with nearly equal outputs. */
const discardedOutputCount = 32;

/** Creates a pseudorandom generator of numbers in [0, 1), deterministic for a seed. */
export function createSeededRandom(seed: number): () => number {
    const generator = xoroshiro128plus(seed);
    const next = () => uniformFloat64(generator);
    for (let index = 0; index < discardedOutputCount; index++) {
        next();
    }
    return next;
}
