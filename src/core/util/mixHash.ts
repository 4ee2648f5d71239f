/** Finalizer of MurmurHash3: every bit of `hash` affects every bit of the result, an unsigned 32-bit integer. */
export function mixHash(hash: number): number {
    let result = hash ^ (hash >>> 16);
    result = Math.imul(result, 0x85ebca6b);
    result ^= result >>> 13;
    result = Math.imul(result, 0xc2b2ae35);
    return (result ^ (result >>> 16)) >>> 0;
}
