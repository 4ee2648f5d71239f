import type { ResultAsync } from "neverthrow";
import type { LogError } from "./LogError.js";
import type { LogRecord } from "./LogRecord.js";

/** Client of the platform's append-only log. An append that fails as `unknown` may have been written, or may still be written later. */
export interface LogClient {
    /** Appends one record and resolves with its offset. */
    append(stream: string, payload: Uint8Array, signal: AbortSignal): ResultAsync<number, LogError>;
    /** Reads records from `offset` on; waits up to `waitMs` for the first one. Fails as `forgotten` when the log no longer holds `offset`. */
    read(stream: string, offset: number, waitMs: number, signal: AbortSignal): ResultAsync<readonly LogRecord[], LogError>;
}
