import type { ConfigSnapshot } from "../../core/config/ConfigSnapshot.js";

/** Encodes a configuration snapshot as JSON, for the log and for replies to peers. */
export function encodeSnapshot(snapshot: ConfigSnapshot): Uint8Array {
    return new TextEncoder().encode(JSON.stringify(snapshot));
}
