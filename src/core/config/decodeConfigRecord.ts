import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { ConfigChange } from "../../schema/config/ConfigChange.js";

const supportedFormatVersion = 1;
const maxRecordBytes = 1_048_576;

/** Decodes one record of the configuration stream. The error is the reason why every VM of this version skips the record. */
export function decodeConfigRecord(payload: Uint8Array): Result<ConfigChange, string> {
    if (payload.length > maxRecordBytes) {
        return err(`the record has ${payload.length} bytes, which exceeds the limit of ${maxRecordBytes} bytes; split the change`);
    }
    let value: unknown;
    try {
        value = JSON.parse(new TextDecoder("utf-8", { fatal: true }).decode(payload));
    }
    catch {
        return err("the record is not JSON in UTF-8; publish changes through the operator RPC");
    }
    const version = getFormatVersion(value);
    if (typeof version === "number" && version > supportedFormatVersion) {
        return err(`the record has format version ${version}, which is not supported; upgrade every VM before publishing such changes`);
    }
    const parsed = ConfigChange.safeParse(value);
    return parsed.success ? ok(parsed.data) : err(`the record is malformed: ${parsed.error.issues[0]?.message ?? ""}`);
}

function getFormatVersion(value: unknown): unknown {
    return value instanceof Object && "formatVersion" in value ? value.formatVersion : undefined;
}
