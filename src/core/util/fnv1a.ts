const fnvOffsetBasis = 0x811c9dc5;
const fnvPrime = 0x01000193;

/**
 * 32-bit FNV-1a over UTF-16 code units. Pass an earlier result as `hash` to continue it. The high bits are poorly mixed: apply `mixHash`
 * where they matter.
 */
export function fnv1a(text: string, hash = fnvOffsetBasis): number {
    let result = hash;
    for (let index = 0; index < text.length; index++) {
        result = Math.imul(result ^ text.charCodeAt(index), fnvPrime);
    }
    return result;
}
