import type { ClaimEntry } from "../../core/booking/ClaimEntry.js";
import type { RecordedResponse } from "../../core/booking/RecordedResponse.js";
import type { LogClient } from "../services/LogClient.js";
import { decodeBookingBatch } from "./decodeBookingBatch.js";

/** Reads from the log a response that was evicted from memory; undefined if it cannot be read now. */
export async function readRecordedResponse(
    log: LogClient,
    stream: string,
    entry: ClaimEntry,
    signal: AbortSignal,
): Promise<RecordedResponse | undefined> {
    if (entry.endOffset === undefined) {
        return undefined;
    }
    const read = await log.read(stream, entry.endOffset, 0, signal);
    const payload = read.isOk() ? read.value.find(record => record.offset === entry.endOffset)?.payload : undefined;
    const batch = payload === undefined ? undefined : decodeBookingBatch(payload).unwrapOr(undefined);
    const answerRecord = batch?.records.find(record => record.type === "answer" && record.nonce === entry.nonce);
    return answerRecord?.type === "answer"
        ? { status: answerRecord.status, contentType: answerRecord.contentType, body: answerRecord.body }
        : undefined;
}
