import { randomBytes } from "node:crypto";

const timeDigits = 9;

/** An id for one start of a VM: later starts sort after earlier ones, and two starts at one moment differ. */
export function createIncarnation(wallMs: number): string {
    return `${wallMs.toString(36).padStart(timeDigits, "0")}-${randomBytes(4).toString("hex")}`;
}
