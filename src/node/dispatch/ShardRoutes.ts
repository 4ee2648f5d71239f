import type { Upstream } from "../../schema/config/Upstream.js";

/** Where tickets go, from the configuration in force and the members known here. */
export interface ShardRoutes {
    /** The shard for a ticket of `pool` that arrived in `availabilityZone`; undefined when the pool has no upstream. */
    selectShard(pool: string, availabilityZone: string): string | undefined;
    /** VMs that may dispatch `shard`, best first. */
    rank(shard: string): readonly string[];
    findUpstream(pool: string, upstreamId: string): Upstream | undefined;
    /** Notes the expected wait that a dispatcher told for `shard`. */
    recordExpectedWait(shard: string, expectedWaitMs: number): void;
}
