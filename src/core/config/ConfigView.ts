import type { Customer } from "../../schema/config/Customer.js";
import type { PathShare } from "../../schema/config/PathShare.js";
import type { Pool } from "../../schema/config/Pool.js";
import type { ServiceClass } from "../../schema/config/ServiceClass.js";

/** Immutable view of the configuration as of one offset of the configuration stream. Each map is keyed by name. */
export interface ConfigView {
    /** Offset of the last folded record; -1 before the first. */
    readonly offset: number;
    readonly serviceClasses: ReadonlyMap<string, ServiceClass>;
    readonly customers: ReadonlyMap<string, Customer>;
    readonly pools: ReadonlyMap<string, Pool>;
    readonly pathShares: ReadonlyMap<string, PathShare>;
}
