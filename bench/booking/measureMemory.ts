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

/** Memory of the table of claims, and the time in which a new VM reads it from the stream. */
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
    const perKey = (usedBytes() - before) / keyCount;
    if (table.size !== keyCount) {
        throw new Error(`the table holds ${table.size} of ${keyCount} keys`);
    }
    const variant = `${keyCount} keys, answers of ${answerBytes} bytes`;
    return [
        { name: "memoryPerThousandKeys", variant, value: perKey * 1_000, unit: "bytes" },
        { name: "claimMemoryMb", variant: `${settings.maxKeys} keys`, value: perKey * settings.maxKeys / bytesPerMb, unit: "MB" },
        { name: "rebuildPerThousandKeysMs", variant, value: tookMs * 1_000 / keyCount, unit: "ms" },
    ];
}

function encodeStream(): Uint8Array[] {
    const payloads: Uint8Array[] = [];
    for (let first = 0; first < keyCount; first += keysPerBatch) {
        const records: BookingRecord[] = [];
        for (let nonce = first; nonce < first + keysPerBatch; nonce++) {
            const key = hashBookingText("vatukoula", String(nonce));
            const body = new Uint8Array(answerBytes);
            records.push({ type: "claim", key, digest: hashBookingText(String(nonce)), nonce });
            records.push({ type: "answer", key, nonce, status: 201, contentType: "application/json", body });
        }
        payloads.push(Uint8Array.from(encodeBookingBatch({ formatVersion: 1, vm: `vm${first % 9}`, incarnation: "1", records })));
    }
    return payloads;
}
