import type { CallRecord } from "./CallRecord.js";

const maxRecords = 100_000;

/** What a stand-in ran, oldest first; the oldest are forgotten beyond a bound. */
export class CallLog {
    private records: CallRecord[] = [];

    add(call: Pick<CallRecord, "idempotencyKey" | "requestId" | "method" | "path">): CallRecord {
        const record: CallRecord = { ...call, startedMs: Date.now(), endedMs: undefined, state: "running", tokens: 0 };
        this.records.push(record);
        if (this.records.length > 2 * maxRecords) {
            this.records = this.records.slice(-maxRecords);
        }
        return record;
    }

    list(): readonly CallRecord[] {
        return this.records;
    }
}
