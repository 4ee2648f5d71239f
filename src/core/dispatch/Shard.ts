import type { Upstream } from "../../schema/config/Upstream.js";

/** The part of a pool's upstreams that one dispatcher VM schedules. */
export interface Shard {
    /** Unique across pools; hashed to choose the dispatcher VM. */
    readonly id: string;
    readonly pool: string;
    /** Undefined for a shard that spans all availability zones of the region. */
    readonly availabilityZone: string | undefined;
    readonly upstreams: readonly Upstream[];
    /** Maximum number of in-flight requests per upstream. */
    readonly maxInFlight: number;
    readonly kind: "engine" | "plain";
    /** Whether a call may be sent more than once. */
    readonly repeatable: boolean;
    /** VM that runs the shard's dispatcher; undefined when no member is ready. */
    readonly dispatcherVm: string | undefined;
}
