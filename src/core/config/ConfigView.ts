import type { Customer } from "../../schema/config/Customer.js";
import type { PathShare } from "../../schema/config/PathShare.js";
import type { Pool } from "../../schema/config/Pool.js";
import type { ServiceClass } from "../../schema/config/ServiceClass.js";

/** An immutable view of the configuration in force, as of one offset of the configuration stream. */
export interface ConfigView {
    /** Offset of the last record folded in; -1 before the first. */
    readonly offset: number;
    readonly serviceClasses: ReadonlyMap<string, ServiceClass>;
    readonly customers: ReadonlyMap<string, Customer>;
    readonly pools: ReadonlyMap<string, Pool>;
    readonly pathShares: ReadonlyMap<string, PathShare>;
}
