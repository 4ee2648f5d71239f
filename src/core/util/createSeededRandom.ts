import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** The generator's first numbers hardly differ between small seeds. */
const skippedNumbers = 32;

/** Numbers in [0, 1), the same for the same seed. */
export function createSeededRandom(seed: number): () => number {
    const generator = xoroshiro128plus(seed);
    const next = () => uniformFloat64(generator);
    for (let index = 0; index < skippedNumbers; index++) {
        next();
    }
    return next;
}
