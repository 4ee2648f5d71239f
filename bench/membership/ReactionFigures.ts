/** How long all VMs of a fleet take to see what happened, milliseconds of virtual time; the longest of several tries. */
export interface ReactionFigures {
    readonly memberCount: number;
    readonly crashMs: number;
    /** Until the two sides have dropped each other. */
    readonly zoneCutMs: number;
    /** From the heal until all see all. */
    readonly healMs: number;
    readonly drainMs: number;
    /** From a new offset of the configuration on all VMs until all know it of all. */
    readonly offsetMs: number;
}
