import type { RelayCall } from "../../schema/relay/RelayCall.js";
import type { RelayRoute } from "../../schema/relay/RelayRoute.js";
import type { RelayUpstream } from "../../schema/relay/RelayUpstream.js";
import type { AdmissionRequest } from "./AdmissionRequest.js";

/** A call to be placed on an upstream. */
export interface PlacementRequest {
    readonly service: string;
    readonly call: Pick<RelayCall, "requestId" | "prompt">;
    readonly route: Pick<RelayRoute, "name" | "targetMs">;
    /** Upstreams of the service that accept new calls. */
    readonly available: readonly RelayUpstream[];
    /** Available upstreams that have not been tried for this call, without those avoided after failures unless all of them are. */
    readonly candidates: readonly RelayUpstream[];
    readonly nowMs: number;
    /** What admission goes by; undefined where it is off, or the VM that asks does not know of it. */
    readonly admission?: AdmissionRequest | undefined;
}
