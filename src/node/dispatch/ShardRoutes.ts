import type { Upstream } from "../../schema/config/Upstream.js";

/** Routes tickets by the current configuration and membership. */
export interface ShardRoutes {
    /** Returns the shard for a ticket of `pool` that arrived in `availabilityZone`; undefined when the pool has no upstream in service. */
    selectShard(pool: string, availabilityZone: string): string | undefined;
    /** Returns the VMs that may dispatch `shard`, most preferred first. */
    rank(shard: string): readonly string[];
    findUpstream(pool: string, upstreamId: string): Upstream | undefined;
    /** Records the expected wait that a dispatcher reported for `shard`. */
    recordExpectedWait(shard: string, expectedWaitMs: number): void;
}
