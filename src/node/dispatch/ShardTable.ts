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

interface ReportedWait {
    readonly expectedWaitMs: number;
    readonly atMs: number;
}

/** The shards of all pools and their dispatcher rankings, recomputed when the configuration or the membership changes. */
export class ShardTable implements ShardRoutes {
    private readonly shardsByPool = new Map<string, readonly Shard[]>();
    private readonly shardsById = new Map<string, Shard>();
    private readonly rankings = new Map<string, readonly string[]>();
    private readonly reportedWaits = new Map<string, ReportedWait>();
    private pools: ReadonlyMap<string, Pool> = new Map();
    private members: readonly Member[] = [];

    constructor(private readonly clock: Clock, private readonly random: () => number) {}

    /** Sets the configuration and members. Upstreams for which `isOutOfService` returns true count as leaving, whatever is configured. */
    update(view: ConfigView, members: readonly Member[], isOutOfService: (upstream: Upstream) => boolean): void {
        this.members = members;
        this.pools = new Map([...view.pools].map(([name, pool]) => [name, markLeaving(pool, isOutOfService)]));
        this.shardsByPool.clear();
        this.shardsById.clear();
        this.rankings.clear();
        for (const pool of this.pools.values()) {
            const shards = partitionPool(pool, members);
            this.shardsByPool.set(pool.name, shards);
            for (const shard of shards) {
                this.shardsById.set(shard.id, shard);
            }
        }
        for (const id of this.reportedWaits.keys()) {
            if (!this.shardsById.has(id)) {
                this.reportedWaits.delete(id);
            }
        }
    }

    selectShard(pool: string, availabilityZone: string): string | undefined {
        const shards = this.shardsByPool.get(pool) ?? [];
        const usable = shards.filter(shard => shard.upstreams.some(upstream => !upstream.leaving));
        return chooseShard(usable, availabilityZone, shard => this.estimateWaitMs(shard), this.random)?.id;
    }

    rank(shardId: string): readonly string[] {
        let ranking = this.rankings.get(shardId);
        if (ranking === undefined) {
            ranking = rankDispatchers(shardId, this.shardsById.get(shardId)?.availabilityZone, this.members);
            this.rankings.set(shardId, ranking);
        }
        return ranking;
    }

    findUpstream(pool: string, upstreamId: string): Upstream | undefined {
        return this.pools.get(pool)?.upstreams.find(upstream => upstream.id === upstreamId);
    }

    recordExpectedWait(shard: string, expectedWaitMs: number): void {
        this.reportedWaits.set(shard, { expectedWaitMs, atMs: this.clock.nowMs() });
    }

    shard(shardId: string): Shard | undefined {
        return this.shardsById.get(shardId);
    }

    get shards(): Iterable<Shard> {
        return this.shardsById.values();
    }

    pool(name: string): Pool | undefined {
        return this.pools.get(name);
    }

    /** Estimates the current wait: the last reported wait less the time since the report, at least 0. */
    private estimateWaitMs(shard: string): number {
        const reported = this.reportedWaits.get(shard);
        return reported === undefined ? 0 : Math.max(0, reported.expectedWaitMs - (this.clock.nowMs() - reported.atMs));
    }
}

function markLeaving(pool: Pool, isOutOfService: (upstream: Upstream) => boolean): Pool {
    return { ...pool, upstreams: pool.upstreams.map(upstream => (isOutOfService(upstream) ? { ...upstream, leaving: true } : upstream)) };
}
