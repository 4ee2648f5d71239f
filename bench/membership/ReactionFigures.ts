/** Time in milliseconds of virtual time until every VM of a fleet has observed an event. For crashes, the longest of several trials. */
export interface ReactionFigures {
    readonly memberCount: number;
    readonly crashMs: number;
    /** From the cut until each side has removed the other from its membership view. */
    readonly zoneCutMs: number;
    /** From the heal until every VM sees every other VM again. */
    readonly healMs: number;
    readonly drainMs: number;
    /** From a new configuration offset on every VM until each VM knows the new offset of all others. */
    readonly offsetMs: number;
}
