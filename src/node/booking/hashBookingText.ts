import { createHash } from "node:crypto";

const hashBytes = 16;

/** A short, collision-resistant stand-in for a caller's text, which itself is kept nowhere. */
export function hashBookingText(...parts: readonly string[]): string {
    const hash = createHash("sha256");
    for (const part of parts) {
        hash.update(`${part.length}:${part}`);
    }
    return hash.digest().subarray(0, hashBytes).toString("base64url");
}
