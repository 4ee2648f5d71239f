import type { Pool } from "../../schema/config/Pool.js";
import { defaultDispatchOptions } from "./defaultDispatchOptions.js";
import type { DispatchOptions } from "./DispatchOptions.js";

/** Settings for the shards of a pool: plain services do not pause streams, and calls that may not be repeated are never sent twice. */
export function dispatchOptionsFor(pool: Pool, grantIdPrefix: string): DispatchOptions {
    const isEngine = pool.kind === "engine";
    const mayRestart = isEngine && pool.repeatable;
    return {
        ...defaultDispatchOptions,
        grantIdPrefix,
        pausedSlots: isEngine ? defaultDispatchOptions.pausedSlots : 0,
        preemption: mayRestart && defaultDispatchOptions.preemption,
        moving: mayRestart && defaultDispatchOptions.moving,
        hedgeShare: mayRestart ? defaultDispatchOptions.hedgeShare : 0,
    };
}
