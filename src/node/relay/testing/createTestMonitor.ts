import { KeyedLogMonitor } from "../KeyedLogMonitor.js";

/** Creates a monitor for followers in tests that do not look at what it counts. */
export function createTestMonitor(nowMs: () => number): KeyedLogMonitor {
    return new KeyedLogMonitor({
        name: "test",
        nowMs,
        logsRangesWithoutRecords: true,
        onRead: () => undefined,
        onReceived: () => undefined,
    });
}
