import type { Shard } from "./Shard.js";

/** Extra cost of a shard in another availability zone, so that work overflows only when that beats waiting. */
const zoneHopMs = 5;

/**
 * Chooses the shard for a ticket: the least expected wait among two random shards of its own zone and two of the others. Looking at two
 * keeps the queue state that must be known small and avoids that all VMs run to the same shard. A wait that is not known counts as none.
 */
export function chooseShard(
    shards: readonly Shard[],
    availabilityZone: string,
    waitMsOf: (shard: string) => number,
    random: () => number,
): Shard | undefined {
    const isLocal = (shard: Shard) => shard.availabilityZone === undefined || shard.availabilityZone === availabilityZone;
    const candidates = [...pickTwo(shards.filter(isLocal), random), ...pickTwo(shards.filter(shard => !isLocal(shard)), random)];
    let best: Shard | undefined;
    let bestMs = Infinity;
    for (const shard of candidates) {
        const costMs = waitMsOf(shard.id) + (isLocal(shard) ? 0 : zoneHopMs);
        if (costMs < bestMs) {
            best = shard;
            bestMs = costMs;
        }
    }
    return best;
}

function pickTwo(shards: readonly Shard[], random: () => number): readonly Shard[] {
    if (shards.length <= 2) {
        return shards;
    }
    const first = Math.floor(random() * shards.length);
    const second = (first + 1 + Math.floor(random() * (shards.length - 1))) % shards.length;
    return [shards[first] as Shard, shards[second] as Shard];
}
