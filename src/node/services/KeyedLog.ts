import type { ResultAsync } from "neverthrow";
import type { KeyedRecord } from "./KeyedRecord.js";
import type { LogError } from "./LogError.js";

/** Records and the offset from which to read on. */
interface KeyedRecords {
    readonly records: readonly KeyedRecord[];
    readonly nextOffset: number;
}

/** A stream of the platform's log whose newest record of each key is kept for good. */
export interface KeyedLog {
    /** The newest record of each key; it may already hold records from `nextOffset` on. */
    newest(signal: AbortSignal): ResultAsync<KeyedRecords, LogError>;
    /** Records from `offset` on; waits up to `waitMs` for the first one. `forgotten` when the log no longer holds `offset`. */
    changes(offset: number, waitMs: number, signal: AbortSignal): ResultAsync<KeyedRecords, LogError>;
}
