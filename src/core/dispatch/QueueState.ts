/** Summary of a shard's queue, sent in replies so that entry VMs can choose between shards. */
export interface QueueState {
    readonly waiting: number;
    readonly freeSlots: number;
    /** Predicted wait of a new ticket, indexed by tier; the last entry applies to all lower tiers too. */
    readonly waitMsByTier: readonly number[];
}
