import type { ResultAsync } from "neverthrow";
import type { KeyedRecord } from "./KeyedRecord.js";
import type { LogError } from "./LogError.js";

/** Records, and the offset at which to continue reading. */
interface KeyedRecords {
    readonly records: readonly KeyedRecord[];
    readonly nextOffset: number;
    /** Rises each time the log is restored from a copy, after which its offsets begin again at the end of the copy; 0 for a log that has none. */
    readonly epoch: number;
}

/** A compacted stream of the platform's log: the newest record of each key is kept indefinitely. */
export interface KeyedLog {
    /** Reads the newest record of each key. The result may already include records from `nextOffset` on. */
    readNewest(signal: AbortSignal): ResultAsync<KeyedRecords, LogError>;
    /** Reads records from `offset` on; waits up to `waitMs` for the first one. Fails as `forgotten` when the log no longer holds `offset`. */
    readChanges(offset: number, waitMs: number, signal: AbortSignal): ResultAsync<KeyedRecords, LogError>;
}
