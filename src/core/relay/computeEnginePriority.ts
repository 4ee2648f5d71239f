/** Classes of urgency that an engine tells apart; 0 is the most urgent. */
const urgencyClasses = 10;

/**
 * The urgency of a call of `rank`, put behind others of its rank by `delay` classes. A call is never less urgent than one of a later rank: an
 * engine that runs out of memory puts the least urgent calls back. `ranks` are those in use, the most urgent first.
 */
export function computeEnginePriority(rank: number, delay: number, ranks: readonly number[]): number {
    const place = ranks.filter(other => other < rank).length;
    const classes = Math.floor(urgencyClasses / Math.max(1, ranks.length));
    if (classes < 1) {
        return Math.floor(place * urgencyClasses / ranks.length);
    }
    return place * classes + Math.min(delay, classes - 1);
}
