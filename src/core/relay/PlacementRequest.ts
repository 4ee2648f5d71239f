import type { RelayCall } from "../../schema/relay/RelayCall.js";
import type { RelayRoute } from "../../schema/relay/RelayRoute.js";
import type { RelayUpstream } from "../../schema/relay/RelayUpstream.js";

/** A call that needs an upstream. */
export interface PlacementRequest {
    readonly service: string;
    readonly call: Pick<RelayCall, "requestId" | "prompt">;
    readonly route: Pick<RelayRoute, "name" | "targetMs">;
    /** Upstreams of the service that take calls. */
    readonly available: readonly RelayUpstream[];
    /** Those of them that have not had this call and are not avoided. */
    readonly candidates: readonly RelayUpstream[];
    readonly nowMs: number;
}
