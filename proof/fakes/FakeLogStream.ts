import type { LogRecord } from "../../src/node/services/LogRecord.js";

/** Records of one stream and the offset of the oldest that is held. */
export interface FakeLogStream {
    first: number;
    records: LogRecord[];
}
