import type { RelayCall } from "../../schema/relay/RelayCall.js";
import type { RelayRoute } from "../../schema/relay/RelayRoute.js";
import type { RelayUpstream } from "../../schema/relay/RelayUpstream.js";

/** A call that needs an upstream. */
export interface PlacementRequest {
    readonly call: RelayCall;
    readonly route: RelayRoute;
    /** Upstreams of the service that take calls and have not had this one. */
    readonly candidates: readonly RelayUpstream[];
    readonly nowMs: number;
}
