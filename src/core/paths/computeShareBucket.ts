const fnvOffset = 0x811c9dc5;
const fnvPrime = 0x01000193;
const bucketCount = 2 ** 32;

/** Maps a customer and key to a stable position in [0, 100). Equal on every VM and in every release. */
export function computeShareBucket(customer: string, key: string): number {
    let hash = fnvOffset;
    for (let index = 0; index < customer.length; index++) {
        hash = Math.imul(hash ^ customer.charCodeAt(index), fnvPrime);
    }
    // A separator that occurs in neither part keeps ("a", "bc") and ("ab", "c") apart.
    hash = Math.imul(hash ^ 0x10000, fnvPrime);
    for (let index = 0; index < key.length; index++) {
        hash = Math.imul(hash ^ key.charCodeAt(index), fnvPrime);
    }
    return finalMix(hash) / bucketCount * 100;
}

/** Spreads neighbouring hashes over the whole range (the finalizer of MurmurHash3). */
function finalMix(hash: number): number {
    hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
    hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
    return (hash ^ (hash >>> 16)) >>> 0;
}
