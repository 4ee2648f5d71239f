import type { Upstream } from "../../schema/config/Upstream.js";

/** A part of an engine pool that one VM dispatches. */
export interface Shard {
    /** Unique over pools; the key of the dispatcher's choice. */
    readonly id: string;
    readonly pool: string;
    /** Undefined for a shard that spans the zones of the region. */
    readonly availabilityZone: string | undefined;
    readonly upstreams: readonly Upstream[];
    /** Most requests in flight on one upstream. */
    readonly maxInFlight: number;
    readonly kind: "engine" | "plain";
    /** Its calls may be sent again. */
    readonly repeatable: boolean;
    /** VM that dispatches it; undefined when no member is ready. */
    readonly dispatcherVm: string | undefined;
}
