import type { BookingRecord } from "../../src/core/booking/BookingRecord.js";
import { ClaimTable } from "../../src/core/booking/ClaimTable.js";
import { decodeBookingBatch } from "../../src/node/booking/decodeBookingBatch.js";
import { encodeBookingBatch } from "../../src/node/booking/encodeBookingBatch.js";
import { hashBookingText } from "../../src/node/booking/hashBookingText.js";
import { BookingSettings } from "../../src/schema/settings/BookingSettings.js";
import { usedBytes } from "../usedBytes.js";
import type { Figure } from "./Figure.js";

const keyCount = 50_000;
const keysPerBatch = 10;
const answerBytes = 200;
const bytesPerMb = 1_048_576;

/** Memory of the claim table, and the time that a new VM takes to rebuild it from the claim stream. Needs `--expose-gc`. */
export function measureMemory(): Figure[] {
    const settings = BookingSettings.parse({});
    const payloads = encodeStream();
    const before = usedBytes();
    const startMs = performance.now();
    const table = new ClaimTable(settings.retentionMs, settings.answerMemoryBytes);
    payloads.forEach((payload, offset) => {
        table.fold(decodeBookingBatch(payload)._unsafeUnwrap(), offset, 0);
    });
    const tookMs = performance.now() - startMs;
    const bytesPerKey = (usedBytes() - before) / keyCount;
    if (table.size !== keyCount) {
        throw new Error(`claim table holds ${table.size} of ${keyCount} keys; discarding the measurement`);
    }
    const variant = `${keyCount} keys, answers of ${answerBytes} bytes`;
    return [
        { name: "memoryPerThousandKeys", variant, value: bytesPerKey * 1_000, unit: "bytes" },
        { name: "claimMemoryMb", variant: `${settings.maxKeys} keys`, value: bytesPerKey * settings.maxKeys / bytesPerMb, unit: "MB" },
        { name: "rebuildPerThousandKeysMs", variant, value: tookMs * 1_000 / keyCount, unit: "ms" },
    ];
}

function encodeStream(): Uint8Array[] {
    const payloads: Uint8Array[] = [];
    for (let firstNonce = 0; firstNonce < keyCount; firstNonce += keysPerBatch) {
        const records: BookingRecord[] = [];
        for (let nonce = firstNonce; nonce < firstNonce + keysPerBatch; nonce++) {
            const key = hashBookingText("vatukoula", String(nonce));
            const body = new Uint8Array(answerBytes);
            records.push({ type: "claim", key, digest: hashBookingText(String(nonce)), nonce });
            records.push({ type: "answer", key, nonce, status: 201, contentType: "application/json", body });
        }
        payloads.push(Uint8Array.from(encodeBookingBatch({ formatVersion: 1, vm: `vm${firstNonce % 9}`, incarnation: "1", records })));
    }
    return payloads;
}
