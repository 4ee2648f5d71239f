import { fnv1a } from "../util/fnv1a.js";
import { mixHash } from "../util/mixHash.js";

/** 32-bit hash of a text, equal on every VM. */
export function hashText(text: string): number {
    return mixHash(fnv1a(text));
}
