import { createHash } from "node:crypto";

const hashBytes = 16;

/** Hashes caller-supplied text to a short, collision-resistant digest, so that the text itself is never stored. */
export function hashBookingText(...parts: readonly string[]): string {
    const hash = createHash("sha256");
    for (const part of parts) {
        hash.update(`${part.length}:${part}`);
    }
    return hash.digest().subarray(0, hashBytes).toString("base64url");
}
