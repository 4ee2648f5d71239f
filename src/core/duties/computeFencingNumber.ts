import { maxFencingOffsets } from "./maxFencingOffsets.js";

/**
 * Fencing number of a lease that was acquired by the record at `offset`: the epoch first, as offsets are given out again after a restore.
 * Undefined if the number would not stay below 2^53.
 */
export function computeFencingNumber(epoch: number, offset: number): number | undefined {
    const fencingNumber = epoch * maxFencingOffsets + offset;
    return offset < maxFencingOffsets && Number.isSafeInteger(fencingNumber) ? fencingNumber : undefined;
}
