import type { CallRecord } from "./CallRecord.js";

const maxRecords = 100_000;

/** Calls that a stand-in executed, oldest first. Keeps at least the newest `maxRecords` calls and at most twice as many. */
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
