import { maxFencingOffsets } from "./maxFencingOffsets.js";

/** The epoch of the store in which the lease with this fencing number was acquired. */
export function readFencingEpoch(fencingNumber: number): number {
    return Math.floor(fencingNumber / maxFencingOffsets);
}
