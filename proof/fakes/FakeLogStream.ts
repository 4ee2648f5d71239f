import type { LogRecord } from "../../src/node/services/LogRecord.js";

/** Retained records of one stream and the offset of the oldest. */
export interface FakeLogStream {
    first: number;
    records: LogRecord[];
}
