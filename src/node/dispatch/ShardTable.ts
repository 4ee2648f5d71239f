import type { ConfigView } from "../../core/config/ConfigView.js";
import { chooseShard } from "../../core/dispatch/chooseShard.js";
import { partitionPool } from "../../core/dispatch/partitionPool.js";
import { rankDispatchers } from "../../core/dispatch/rankDispatchers.js";
import type { Shard } from "../../core/dispatch/Shard.js";
import type { Member } from "../../core/membership/Member.js";
import type { Clock } from "../../core/util/Clock.js";
import type { Pool } from "../../schema/config/Pool.js";
import type { Upstream } from "../../schema/config/Upstream.js";
import type { ShardRoutes } from "./ShardRoutes.js";

interface NotedWait {
    readonly expectedWaitMs: number;
    readonly atMs: number;
}

/** The shards of every pool and who dispatches them, computed anew when the configuration or the members change. */
export class ShardTable implements ShardRoutes {
    private readonly shardsOfPool = new Map<string, readonly Shard[]>();
    private readonly shardOfId = new Map<string, Shard>();
    private readonly ranks = new Map<string, readonly string[]>();
    private readonly waits = new Map<string, NotedWait>();
    private pools: ReadonlyMap<string, Pool> = new Map();
    private members: readonly Member[] = [];

    constructor(private readonly clock: Clock, private readonly random: () => number) {}

    /** Sets the view of the fleet. Upstreams for which `getsNoWork` holds are taken as leaving whatever the configuration says. */
    update(view: ConfigView, members: readonly Member[], getsNoWork: (findUpstream: Upstream) => boolean): void {
        this.members = members;
        this.pools = new Map([...view.pools].map(([name, pool]) => [name, withLeaving(pool, getsNoWork)]));
        this.shardsOfPool.clear();
        this.shardOfId.clear();
        this.ranks.clear();
        for (const findPool of this.pools.values()) {
            const shards = partitionPool(findPool, members);
            this.shardsOfPool.set(findPool.name, shards);
            for (const findShard of shards) {
                this.shardOfId.set(findShard.id, findShard);
            }
        }
        for (const id of this.waits.keys()) {
            if (!this.shardOfId.has(id)) {
                this.waits.delete(id);
            }
        }
    }

    selectShard(pool: string, availabilityZone: string): string | undefined {
        const shards = this.shardsOfPool.get(pool) ?? [];
        const usable = shards.filter(shard => shard.upstreams.some(upstream => !upstream.leaving));
        return chooseShard(usable, availabilityZone, shard => this.waitMs(shard), this.random)?.id;
    }

    rank(shardId: string): readonly string[] {
        let rank = this.ranks.get(shardId);
        if (rank === undefined) {
            rank = rankDispatchers(shardId, this.shardOfId.get(shardId)?.availabilityZone, this.members);
            this.ranks.set(shardId, rank);
        }
        return rank;
    }

    findUpstream(pool: string, upstreamId: string): Upstream | undefined {
        return this.pools.get(pool)?.upstreams.find(upstream => upstream.id === upstreamId);
    }

    recordExpectedWait(shard: string, expectedWaitMs: number): void {
        this.waits.set(shard, { expectedWaitMs, atMs: this.clock.nowMs() });
    }

    shard(shardId: string): Shard | undefined {
        return this.shardOfId.get(shardId);
    }

    get shards(): Iterable<Shard> {
        return this.shardOfId.values();
    }

    pool(name: string): Pool | undefined {
        return this.pools.get(name);
    }

    /** A wait that was told a while ago has shrunk by the time that has passed. */
    private waitMs(shard: string): number {
        const noted = this.waits.get(shard);
        return noted === undefined ? 0 : Math.max(0, noted.expectedWaitMs - (this.clock.nowMs() - noted.atMs));
    }
}

function withLeaving(pool: Pool, getsNoWork: (upstream: Upstream) => boolean): Pool {
    return { ...pool, upstreams: pool.upstreams.map(upstream => (getsNoWork(upstream) ? { ...upstream, leaving: true } : upstream)) };
}
