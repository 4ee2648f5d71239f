import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** The generator's first outputs are nearly equal for small seeds. */
const discardedNumbers = 32;

/** Creates a pseudorandom generator of numbers in [0, 1), deterministic for a seed. */
export function createSeededRandom(seed: number): () => number {
    const generator = xoroshiro128plus(seed);
    const next = () => uniformFloat64(generator);
    for (let index = 0; index < discardedNumbers; index++) {
        next();
    }
    return next;
}
