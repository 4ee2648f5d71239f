import { randomBytes } from "node:crypto";

const timestampDigits = 9;

/** Creates an id for one start of a VM. Ids of later starts sort after earlier ones; a random suffix keeps simultaneous starts distinct. */
export function createIncarnation(wallMs: number): string {
    return `${wallMs.toString(36).padStart(timestampDigits, "0")}-${randomBytes(4).toString("hex")}`;
}
