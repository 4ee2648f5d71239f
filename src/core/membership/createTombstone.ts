import type { MemberTombstone } from "../../schema/peer/MemberTombstone.js";
import type { MemberEntry } from "./MemberEntry.js";

/** Creates the tombstone of a VM. Its age is the time since the VM was marked as gone, or 0 if it is not marked yet. */
export function createTombstone(entry: MemberEntry, nowMs: number): MemberTombstone {
    const { vm, incarnation, version } = entry.record;
    const ageMs = entry.isGone ? Math.max(0, nowMs - entry.goneAtMs) : 0;
    return { vm, incarnation, version, ageMs, hasLeft: entry.isGone && entry.hasLeft };
}
