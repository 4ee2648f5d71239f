import type { ResultAsync } from "neverthrow";
import type { LogError } from "../services/LogError.js";
import type { DutyRecord } from "./DutyRecord.js";

interface NewestDutyRecords {
    readonly records: readonly DutyRecord[];
    /** End of the log before the records were read. */
    readonly endOffset: number;
    /** Rises by one each time the log is restored from an older copy. */
    readonly epoch: number;
}

type DutyAppend =
    | { readonly kind: "appended"; readonly offset: number; readonly endOffset: number; readonly epoch: number; }
    | { readonly kind: "conflict"; readonly endOffset: number; readonly epoch: number; };

/** Topic on the platform's log that holds the lease and the records of the fleet's duties. */
export interface DutyStore {
    readNewest(signal: AbortSignal): ResultAsync<NewestDutyRecords, LogError>;
    /**
     * Appends all records or none; `conflict` when the log no longer ends at `atOffset`. After an error the records may still be appended
     * seconds later if the log ends at `atOffset` then.
     */
    append(records: readonly DutyRecord[], atOffset: number, signal: AbortSignal): ResultAsync<DutyAppend, LogError>;
}
