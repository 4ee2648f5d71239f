const fnvOffsetBasis = 0x811c9dc5;
const fnvPrime = 0x01000193;

/**
 * Picks the candidate with the highest hash for `key`; undefined when there is none. Order of candidates does not matter, and a
 * candidate that comes or goes moves only the keys that it gains or loses.
 */
export function rendezvous(key: string, candidates: readonly string[]): string | undefined {
    const keyHash = addToHash(fnvOffsetBasis, key);
    let best: string | undefined;
    let bestScore = -1;
    for (const candidate of candidates) {
        const score = mix(addToHash(keyHash, candidate));
        if (score > bestScore || (score === bestScore && best !== undefined && candidate < best)) {
            best = candidate;
            bestScore = score;
        }
    }
    return best;
}

/** FNV-1a over UTF-16 code units. */
function addToHash(hash: number, text: string): number {
    let result = hash;
    for (let index = 0; index < text.length; index++) {
        result = Math.imul(result ^ text.charCodeAt(index), fnvPrime);
    }
    return result;
}

/** Final mixing of MurmurHash3: without it FNV-1a's high bits barely depend on the last characters. */
function mix(hash: number): number {
    let result = hash ^ (hash >>> 16);
    result = Math.imul(result, 0x85ebca6b);
    result ^= result >>> 13;
    result = Math.imul(result, 0xc2b2ae35);
    return (result ^ (result >>> 16)) >>> 0;
}
