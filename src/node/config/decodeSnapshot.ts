import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { ConfigSnapshot } from "../../core/config/ConfigSnapshot.js";

/** Decodes a configuration snapshot; the error says why it is not valid. */
export function decodeSnapshot(payload: Uint8Array): Result<ConfigSnapshot, string> {
    try {
        const parsed = ConfigSnapshot.safeParse(JSON.parse(new TextDecoder().decode(payload)));
        return parsed.success ? ok(parsed.data) : err(parsed.error.issues[0]?.message ?? "malformed");
    }
    catch (error) {
        return err(String(error));
    }
}
