import type { ConfigSnapshot } from "../../core/config/ConfigSnapshot.js";

/** Payload of a snapshot, in the log and between peers. */
export function encodeSnapshot(snapshot: ConfigSnapshot): Uint8Array {
    return new TextEncoder().encode(JSON.stringify(snapshot));
}
