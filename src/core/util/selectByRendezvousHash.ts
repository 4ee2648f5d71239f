import { fnv1a } from "./fnv1a.js";
import { mixHash } from "./mixHash.js";

/**
 * Selects the candidate with the highest hash for `key` (rendezvous hashing); undefined without candidates. The order of candidates does
 * not matter, and adding or removing a candidate moves only the keys that it gains or loses.
 */
export function selectByRendezvousHash(key: string, candidates: readonly string[]): string | undefined {
    const keyHash = fnv1a(key);
    let best: string | undefined;
    let bestScore = -1;
    for (const candidate of candidates) {
        const score = mixHash(fnv1a(candidate, keyHash));
        if (score > bestScore || (score === bestScore && best !== undefined && candidate < best)) {
            best = candidate;
            bestScore = score;
        }
    }
    return best;
}
