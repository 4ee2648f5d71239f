import type { Pool } from "../../schema/config/Pool.js";
import type { Upstream } from "../../schema/config/Upstream.js";
import type { Member } from "../membership/Member.js";
import { hashText } from "./hashText.js";
import { rankDispatchers } from "./rankDispatchers.js";
import type { Shard } from "./Shard.js";

/** Maximum number of upstreams per shard. */
const defaultMaxUpstreamsPerShard = 16;
/** Share of each shard that is left free at partitioning, so that adding or removing one upstream moves few others. */
const spareCapacityShare = 0.125;

/**
 * Partitions a pool into shards and assigns a dispatcher VM to each. The result depends only on the pool and the set of ready members, so
 * VMs with the same view agree. A pool that fits into one shard is not split and may span zones; in a larger pool each shard belongs to a
 * single availability zone.
 */
export function partitionPool(
    pool: Pool,
    members: readonly Member[],
    maxUpstreamsPerShard = defaultMaxUpstreamsPerShard,
): readonly Shard[] {
    const ready = members.filter(member => member.state === "ready");
    if (pool.upstreams.length <= maxUpstreamsPerShard) {
        return [toShard(pool, undefined, 0, sortById(pool.upstreams), ready)];
    }
    return [...groupByZone(pool.upstreams)].flatMap(([zone, upstreams]) =>
        partitionZone(pool, zone, upstreams, ready, maxUpstreamsPerShard)
    );
}

/** Partitions the upstreams of one zone by rendezvous hashing, so that adding or removing one upstream moves few others. */
function partitionZone(
    pool: Pool,
    zone: string,
    upstreams: readonly Upstream[],
    ready: readonly Member[],
    maxUpstreamsPerShard: number,
): readonly Shard[] {
    const shardCount = Math.ceil(upstreams.length / Math.max(1, maxUpstreamsPerShard * (1 - spareCapacityShare)));
    const groups: Upstream[][] = Array.from({ length: shardCount }, () => []);
    for (const upstream of sortById(upstreams)) {
        selectGroup(groups, upstream, maxUpstreamsPerShard).push(upstream);
    }
    return groups.map((group, index) => toShard(pool, zone, index, group, ready));
}

/** Selects the shard for an upstream: the one with the highest rendezvous hash among those with free capacity. */
function selectGroup(groups: Upstream[][], upstream: Upstream, maxUpstreamsPerShard: number): Upstream[] {
    const openGroups = groups.map((group, index) => ({ group, index })).filter(({ group }) => group.length < maxUpstreamsPerShard);
    const best = findHighest(openGroups, ({ index }) => hashText(`${upstream.id}/${index}`));
    return (best ?? { group: groups[0] as Upstream[] }).group;
}

function toShard(
    pool: Pool,
    zone: string | undefined,
    index: number,
    upstreams: readonly Upstream[],
    ready: readonly Member[],
): Shard {
    const id = zone === undefined ? pool.name : `${pool.name}/${zone}/${index}`;
    return {
        id,
        pool: pool.name,
        availabilityZone: zone,
        upstreams,
        maxInFlight: pool.maxInFlight,
        kind: pool.kind,
        repeatable: pool.repeatable,
        dispatcherVm: rankDispatchers(id, zone, ready)[0],
    };
}

function findHighest<T>(items: readonly T[], score: (item: T) => number): T | undefined {
    let best: T | undefined;
    let bestScore = -1;
    for (const item of items) {
        const itemScore = score(item);
        if (itemScore > bestScore) {
            best = item;
            bestScore = itemScore;
        }
    }
    return best;
}

function sortById(upstreams: readonly Upstream[]): readonly Upstream[] {
    return [...upstreams].sort((left, right) => (left.id < right.id ? -1 : 1));
}

function groupByZone(upstreams: readonly Upstream[]): Map<string, Upstream[]> {
    const groups = new Map<string, Upstream[]>();
    for (const upstream of sortById(upstreams)) {
        const group = groups.get(upstream.availabilityZone) ?? [];
        group.push(upstream);
        groups.set(upstream.availabilityZone, group);
    }
    return groups;
}
