import type { Pool } from "../../schema/config/Pool.js";
import type { Upstream } from "../../schema/config/Upstream.js";
import type { Member } from "../membership/Member.js";
import { hashText } from "./hashText.js";
import { rankDispatchers } from "./rankDispatchers.js";
import type { Shard } from "./Shard.js";

/** Most engines in one shard. */
const defaultMaxShardEngines = 16;
/** Room that shards are cut with, so that an engine more or less moves few others. */
const spareShare = 0.125;

/**
 * Cuts a pool into shards and gives each one its dispatcher. Depends on the pool and the set of ready members alone, so that VMs with
 * the same view agree. A shard spans zones while the whole pool fits into one; beyond that each shard stays inside a zone.
 */
export function partitionPool(pool: Pool, members: readonly Member[], maxShardEngines = defaultMaxShardEngines): readonly Shard[] {
    const ready = members.filter(member => member.state === "ready");
    if (pool.upstreams.length <= maxShardEngines) {
        return [toShard(pool, undefined, 0, byId(pool.upstreams), ready)];
    }
    return [...groupByZone(pool.upstreams)].flatMap(([zone, upstreams]) => cutZone(pool, zone, upstreams, ready, maxShardEngines));
}

/** Engines of one zone, cut so that one engine more or less moves few others: each engine goes to its rendezvous shard. */
function cutZone(
    pool: Pool,
    zone: string,
    upstreams: readonly Upstream[],
    ready: readonly Member[],
    maxShardEngines: number,
): readonly Shard[] {
    const shardCount = Math.ceil(upstreams.length / Math.max(1, maxShardEngines * (1 - spareShare)));
    const groups: Upstream[][] = Array.from({ length: shardCount }, () => []);
    for (const upstream of byId(upstreams)) {
        groupFor(groups, upstream, maxShardEngines).push(upstream);
    }
    return groups.map((group, index) => toShard(pool, zone, index, group, ready));
}

/** The shard that this engine hashes to, or the next best with room. */
function groupFor(groups: Upstream[][], upstream: Upstream, maxShardEngines: number): Upstream[] {
    const open = groups.map((group, index) => ({ group, index })).filter(({ group }) => group.length < maxShardEngines);
    const best = highest(open, ({ index }) => hashText(`${upstream.id}/${index}`));
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

function highest<T>(items: readonly T[], score: (item: T) => number): T | undefined {
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

function byId(upstreams: readonly Upstream[]): readonly Upstream[] {
    return [...upstreams].sort((left, right) => (left.id < right.id ? -1 : 1));
}

function groupByZone(upstreams: readonly Upstream[]): Map<string, Upstream[]> {
    const groups = new Map<string, Upstream[]>();
    for (const upstream of byId(upstreams)) {
        const group = groups.get(upstream.availabilityZone) ?? [];
        group.push(upstream);
        groups.set(upstream.availabilityZone, group);
    }
    return groups;
}
