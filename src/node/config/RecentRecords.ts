import type { LogRecord } from "../services/LogRecord.js";

const maxHeldRecords = 1_000;
const maxHeldBytes = 4 * 1_048_576;
/** Well below the maximum frame size between peers. */
const maxReplyBytes = 1_048_576;

/** Holds the configuration records that this VM folded last, for peers that cannot read the log. */
export class RecentRecords {
    private records: LogRecord[] = [];
    private heldBytes = 0;

    /** Every record with an offset above `completeAfterOffset` is held. */
    constructor(private completeAfterOffset: number) {}

    add(record: LogRecord): void {
        this.records.push(record);
        this.heldBytes += record.payload.length;
        while (this.records.length > maxHeldRecords || this.heldBytes > maxHeldBytes) {
            const evicted = this.records.shift();
            this.heldBytes -= evicted?.payload.length ?? 0;
            this.completeAfterOffset = evicted?.offset ?? this.completeAfterOffset;
        }
    }

    /** Discards all held records; for use after a snapshot as of `offset` was loaded. */
    reset(offset: number): void {
        this.records = [];
        this.heldBytes = 0;
        this.completeAfterOffset = offset;
    }

    /** Returns the records from `offset` on that fit into one reply, at least one if any is held; undefined if some were evicted. */
    listFrom(offset: number): readonly LogRecord[] | undefined {
        if (offset <= this.completeAfterOffset) {
            return undefined;
        }
        const selected: LogRecord[] = [];
        let replyBytes = 0;
        for (const record of this.records) {
            if (record.offset < offset) {
                continue;
            }
            replyBytes += record.payload.length;
            if (replyBytes > maxReplyBytes && selected.length > 0) {
                break;
            }
            selected.push(record);
        }
        return selected;
    }
}
