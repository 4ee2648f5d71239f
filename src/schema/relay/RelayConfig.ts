import type { RelayCustomer } from "./RelayCustomer.js";
import type { RelayRoute } from "./RelayRoute.js";
import type { RelayService } from "./RelayService.js";

/** One version of the configuration of relayed traffic, whole. */
export interface RelayConfig {
    /** Grows with each change, in uneven steps. */
    readonly version: number;
    readonly routes: readonly RelayRoute[];
    readonly services: readonly RelayService[];
    /** Undefined when callers need no key. */
    readonly customers: readonly RelayCustomer[] | undefined;
    readonly limits: RelayCallerLimits;
}

interface RelayCallerLimits {
    readonly headerBytes: number;
    readonly bodyBytes: number;
    readonly headerTimeoutMs: number;
    /** A caller's connection without a request is closed after this long. */
    readonly idleTimeoutMs: number;
}
