import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { ConfigChange } from "../../schema/config/ConfigChange.js";

const supportedFormatVersion = 1;
const maxRecordBytes = 1_048_576;

/** Reads one record of the configuration stream; the error says why every VM of this version skips it. */
export function decodeConfigRecord(payload: Uint8Array): Result<ConfigChange, string> {
    if (payload.length > maxRecordBytes) {
        return err(`the record has ${payload.length} bytes, more than ${maxRecordBytes}; split the change`);
    }
    let value: unknown;
    try {
        value = JSON.parse(new TextDecoder("utf-8", { fatal: true }).decode(payload));
    }
    catch {
        return err("the record is not JSON; publish changes through the operator RPC");
    }
    const version = formatVersionOf(value);
    if (typeof version === "number" && version > supportedFormatVersion) {
        return err(`the record has format ${version}; replace every VM by a newer version before such changes are published`);
    }
    const parsed = ConfigChange.safeParse(value);
    return parsed.success ? ok(parsed.data) : err(`the record is malformed: ${parsed.error.issues[0]?.message ?? ""}`);
}

function formatVersionOf(value: unknown): unknown {
    return value instanceof Object && "formatVersion" in value ? value.formatVersion : undefined;
}
