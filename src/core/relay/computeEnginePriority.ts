/** Number of priority levels of an engine; level 0 is the most urgent. */
const priorityLevels = 10;

/**
 * Computes the priority level of a call of `rank` that is scheduled `priorityOffset` levels behind others of its rank. Its level is at least
 * as urgent as that of any call of a less urgent rank, because an engine that runs out of memory preempts the least urgent calls. `ranks`
 * are the ranks in use, the most urgent first.
 */
export function computeEnginePriority(rank: number, priorityOffset: number, ranks: readonly number[]): number {
    const rankIndex = ranks.filter(other => other < rank).length;
    const levelsPerRank = Math.floor(priorityLevels / Math.max(1, ranks.length));
    if (levelsPerRank < 1) {
        return Math.floor(rankIndex * priorityLevels / ranks.length);
    }
    return rankIndex * levelsPerRank + Math.min(priorityOffset, levelsPerRank - 1);
}
