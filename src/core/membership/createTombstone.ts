import type { MemberTombstone } from "../../schema/peer/MemberTombstone.js";
import type { MemberEntry } from "./MemberEntry.js";

/** The statement that a VM is gone, as old as the VM's being gone; new for one that was not gone before. */
export function createTombstone(entry: MemberEntry, nowMs: number): MemberTombstone {
    const { vm, incarnation, version } = entry.record;
    const ageMs = entry.isGone ? Math.max(0, nowMs - entry.goneAtMs) : 0;
    return { vm, incarnation, version, ageMs, hasLeft: entry.isGone && entry.hasLeft };
}
