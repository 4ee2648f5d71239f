import type { Shard } from "./Shard.js";

/** Extra cost of a shard in another availability zone: requests overflow only when the local wait is longer by more than this. */
const crossZonePenaltyMs = 5;

/**
 * Chooses the shard with the shortest expected wait among two random shards of the VM's own zone and two of other zones (power of two
 * choices). Sampling two limits the queue state that a VM must know and prevents all VMs from choosing the same shard. `random` returns
 * numbers in [0, 1); `waitMsOf` returns 0 for an unknown wait. Returns undefined if there are no shards.
 */
export function chooseShard(
    shards: readonly Shard[],
    availabilityZone: string,
    waitMsOf: (shard: string) => number,
    random: () => number,
): Shard | undefined {
    const isLocal = (shard: Shard) => shard.availabilityZone === undefined || shard.availabilityZone === availabilityZone;
    const candidates = [...sampleTwo(shards.filter(isLocal), random), ...sampleTwo(shards.filter(shard => !isLocal(shard)), random)];
    let best: Shard | undefined;
    let bestMs = Infinity;
    for (const shard of candidates) {
        const costMs = waitMsOf(shard.id) + (isLocal(shard) ? 0 : crossZonePenaltyMs);
        if (costMs < bestMs) {
            best = shard;
            bestMs = costMs;
        }
    }
    return best;
}

function sampleTwo(shards: readonly Shard[], random: () => number): readonly Shard[] {
    if (shards.length <= 2) {
        return shards;
    }
    const first = Math.floor(random() * shards.length);
    const second = (first + 1 + Math.floor(random() * (shards.length - 1))) % shards.length;
    return [shards[first] as Shard, shards[second] as Shard];
}
