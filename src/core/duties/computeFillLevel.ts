/** Computes the number to which the lowest of the counts, which rise, are filled up so that they take in `added` in all. */
export function computeFillLevel(counts: readonly number[], added: number): number {
    let level = 0;
    let total = added;
    for (const [index, count] of counts.entries()) {
        total += count;
        level = Math.ceil(total / (index + 1));
        if (level <= (counts[index + 1] ?? Infinity)) {
            break;
        }
    }
    return level;
}
