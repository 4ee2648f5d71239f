/** Final mixing of MurmurHash3: every bit of the result depends on every bit of `hash`. Unsigned 32 bits. */
export function mixHash(hash: number): number {
    let result = hash ^ (hash >>> 16);
    result = Math.imul(result, 0x85ebca6b);
    result ^= result >>> 13;
    result = Math.imul(result, 0xc2b2ae35);
    return (result ^ (result >>> 16)) >>> 0;
}
