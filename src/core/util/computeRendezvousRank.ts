import { fnv1a } from "./fnv1a.js";
import { mixHash } from "./mixHash.js";

/** How many of the others come before `candidate` in the order of rendezvous hashing for `key`; 0 for the one that `rendezvous` picks. */
export function computeRendezvousRank(key: string, candidate: string, others: readonly string[]): number {
    const keyHash = fnv1a(key);
    const own = mixHash(fnv1a(candidate, keyHash));
    let rank = 0;
    for (const other of others) {
        const score = mixHash(fnv1a(other, keyHash));
        rank += other !== candidate && (score > own || score === own && other < candidate) ? 1 : 0;
    }
    return rank;
}
