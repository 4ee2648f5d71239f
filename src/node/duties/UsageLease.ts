import type { ResultAsync } from "neverthrow";
import type { LogError } from "../services/LogError.js";
import type { DutyHolder } from "./DutyHolder.js";
import type { DutyRecord } from "./DutyRecord.js";

/** What usage reports need of the lease on the fleet's duties. */
export interface UsageLease extends DutyHolder {
    /** Appends the records together with a renewal of the lease; an error if the lease is lost or it is unsure whether they were appended. */
    appendWithRenewal(records: readonly DutyRecord[], signal: AbortSignal): ResultAsync<void, LogError>;
    /** Newest values, read when the lease was acquired, by key. */
    readonly records: ReadonlyMap<string, Uint8Array>;
    /** Monotonic time at which the present epoch of the store was first seen; undefined if it was never seen to change. */
    readonly firstSeenEpochMs: number | undefined;
}
