/** A few figures of a shard's queue, carried in replies so that others can choose between shards. */
export interface QueueState {
    readonly waiting: number;
    readonly freeSlots: number;
    /** Predicted wait of a new ticket by tier; the last entry holds for all lower tiers. */
    readonly waitMsByTier: readonly number[];
}
