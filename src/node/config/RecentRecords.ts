import type { LogRecord } from "../services/LogRecord.js";

const maxRecords = 1_000;
const maxBytes = 4 * 1_048_576;
/** Well below the largest frame between peers. */
const maxReplyBytes = 1_048_576;

/** The last configuration records folded here, for peers that cannot read the log. */
export class RecentRecords {
    private records: LogRecord[] = [];
    private bytes = 0;

    /** Every record after `completeAfter` is held. */
    constructor(private completeAfter: number) {}

    add(record: LogRecord): void {
        this.records.push(record);
        this.bytes += record.payload.length;
        while (this.records.length > maxRecords || this.bytes > maxBytes) {
            const dropped = this.records.shift();
            this.bytes -= dropped?.payload.length ?? 0;
            this.completeAfter = dropped?.offset ?? this.completeAfter;
        }
    }

    /** Starts again after a snapshot of `offset`. */
    reset(offset: number): void {
        this.records = [];
        this.bytes = 0;
        this.completeAfter = offset;
    }

    /** The first records from `offset` on that fit into one reply; undefined when some of them are no longer held. */
    from(offset: number): readonly LogRecord[] | undefined {
        if (offset <= this.completeAfter) {
            return undefined;
        }
        const found: LogRecord[] = [];
        let replyBytes = 0;
        for (const record of this.records) {
            if (record.offset < offset) {
                continue;
            }
            replyBytes += record.payload.length;
            if (replyBytes > maxReplyBytes && found.length > 0) {
                break;
            }
            found.push(record);
        }
        return found;
    }
}
