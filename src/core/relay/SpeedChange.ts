import type { SpeedClass } from "./SpeedClass.js";

/** A change of the class by which the calls of an engine are placed. */
export interface SpeedChange {
    readonly upstreamId: string;
    readonly service: string;
    readonly from: SpeedClass;
    readonly to: SpeedClass;
    readonly speed: number;
}
