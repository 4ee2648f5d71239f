import { fnv1a } from "./fnv1a.js";
import { mixHash } from "./mixHash.js";

/** Zero-based rank of `candidate` by rendezvous hash for `key`; rank 0 is the one that `selectByRendezvousHash` selects. */
export function computeRendezvousRank(key: string, candidate: string, candidates: readonly string[]): number {
    const keyHash = fnv1a(key);
    const ownScore = mixHash(fnv1a(candidate, keyHash));
    let rank = 0;
    for (const other of candidates) {
        const score = mixHash(fnv1a(other, keyHash));
        rank += other !== candidate && (score > ownScore || score === ownScore && other < candidate) ? 1 : 0;
    }
    return rank;
}
