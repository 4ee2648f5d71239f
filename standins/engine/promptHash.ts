const fnvOffset = 0x811c9dc5;
const fnvPrime = 0x01000193;

/** 32-bit FNV-1a hash of a prompt; `seed` changes the initial value. */
export function promptHash(text: string, seed: number): number {
    let hash = (fnvOffset ^ seed) >>> 0;
    for (let index = 0; index < text.length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), fnvPrime) >>> 0;
    }
    return hash;
}
