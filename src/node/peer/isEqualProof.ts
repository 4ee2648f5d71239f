import { timingSafeEqual } from "node:crypto";

/** Compares two proofs in constant time. */
export function isEqualProof(left: string, right: string): boolean {
    const leftBytes = Buffer.from(left);
    const rightBytes = Buffer.from(right);
    return leftBytes.length === rightBytes.length && timingSafeEqual(leftBytes, rightBytes);
}
