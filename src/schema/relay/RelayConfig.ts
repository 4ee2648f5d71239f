import type { RelayCustomer } from "./RelayCustomer.js";
import type { RelayRoute } from "./RelayRoute.js";
import type { RelayService } from "./RelayService.js";

/** One complete version of the configuration of relayed traffic. */
export interface RelayConfig {
    /** Increases with each change, but not necessarily by one; may exceed 2^53. */
    readonly version: bigint;
    readonly routes: readonly RelayRoute[];
    readonly services: readonly RelayService[];
    /** Undefined if callers need no key. */
    readonly customers: readonly RelayCustomer[] | undefined;
    readonly limits: RelayCallerLimits;
}

interface RelayCallerLimits {
    readonly headerBytes: number;
    readonly bodyBytes: number;
    readonly headerTimeoutMs: number;
    /** Time after which a caller's idle connection is closed. */
    readonly idleTimeoutMs: number;
}
