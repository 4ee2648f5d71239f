import { fnv1a } from "../util/fnv1a.js";
import { mixHash } from "../util/mixHash.js";

/** Returns a 32-bit hash of a string that is the same on every VM. */
export function hashText(text: string): number {
    return mixHash(fnv1a(text));
}
