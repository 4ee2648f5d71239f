const fnvOffsetBasis = 0x811c9dc5;
const fnvPrime = 0x01000193;

/** FNV-1a over UTF-16 code units, 32 bits; `hash` continues an earlier one. Its high bits need `mixHash`. */
export function fnv1a(text: string, hash = fnvOffsetBasis): number {
    let result = hash;
    for (let index = 0; index < text.length; index++) {
        result = Math.imul(result ^ text.charCodeAt(index), fnvPrime);
    }
    return result;
}
