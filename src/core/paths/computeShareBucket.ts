const fnvOffsetBasis = 0x811c9dc5;
const fnvPrime = 0x01000193;
const hashRange = 2 ** 32;

/** Maps a customer and key to a stable position in [0, 100). The result must stay the same on every VM and in every release. */
export function computeShareBucket(customer: string, key: string): number {
    let hash = fnvOffsetBasis;
    for (let index = 0; index < customer.length; index++) {
        hash = Math.imul(hash ^ customer.charCodeAt(index), fnvPrime);
    }
    // A separator outside the range of UTF-16 code units distinguishes ("a", "bc") from ("ab", "c").
    hash = Math.imul(hash ^ 0x10000, fnvPrime);
    for (let index = 0; index < key.length; index++) {
        hash = Math.imul(hash ^ key.charCodeAt(index), fnvPrime);
    }
    return mixBits(hash) / hashRange * 100;
}

/** Finalizer of MurmurHash3; spreads neighbouring hashes over the whole unsigned 32-bit range. */
function mixBits(hash: number): number {
    hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
    hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
    return (hash ^ (hash >>> 16)) >>> 0;
}
