const blockCharacters = 1024;
const maxBlocks = 64;
const fnvOffsetBasis = 0x811c9dc5;
const fnvPrime = 0x01000193;

/**
 * Hashes successive prefixes of a prompt, each one block longer, for prefix-cache affinity. Prompts with a common prefix share their first
 * hashes. An incomplete last block is ignored.
 */
export function hashPromptPrefixes(prompt: string): number[] {
    const hashes: number[] = [];
    const blocks = Math.min(maxBlocks, Math.floor(prompt.length / blockCharacters));
    let hash = fnvOffsetBasis;
    for (let block = 0; block < blocks; block++) {
        const end = (block + 1) * blockCharacters;
        for (let index = block * blockCharacters; index < end; index++) {
            hash = Math.imul(hash ^ prompt.charCodeAt(index), fnvPrime);
        }
        hashes.push(hash >>> 0);
    }
    return hashes;
}
