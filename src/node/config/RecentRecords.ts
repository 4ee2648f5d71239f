import type { LogRecord } from "../services/LogRecord.js";

const maxRecords = 1_000;

/** The last configuration records folded here, for peers that cannot read the log. */
export class RecentRecords {
    private records: LogRecord[] = [];

    /** Every record after `completeAfter` is held. */
    constructor(private completeAfter: number) {}

    add(record: LogRecord): void {
        this.records.push(record);
        if (this.records.length > maxRecords) {
            this.completeAfter = this.records.shift()?.offset ?? this.completeAfter;
        }
    }

    /** Starts again after a snapshot of `offset`. */
    reset(offset: number): void {
        this.records = [];
        this.completeAfter = offset;
    }

    /** The records from `offset` on; undefined when some of them are no longer held. */
    from(offset: number): readonly LogRecord[] | undefined {
        return offset > this.completeAfter ? this.records.filter(record => record.offset >= offset) : undefined;
    }
}
