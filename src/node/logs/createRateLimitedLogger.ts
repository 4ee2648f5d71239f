import { createLogger } from "./createLogger.js";
import type { Logger } from "./Logger.js";

const msPerSecond = 1_000;

/** A logger that writes at most `maxLinesPerSecond`; the next line tells how many were left out. For lines that outsiders can cause. */
export function createRateLimitedLogger(part: string, maxLinesPerSecond: number): Logger {
    const log = createLogger(part);
    let currentSecond = 0;
    let linesInSecond = 0;
    let suppressedLines = 0;
    return (message, fields = {}) => {
        const second = Math.floor(performance.now() / msPerSecond);
        if (second !== currentSecond) {
            currentSecond = second;
            linesInSecond = 0;
        }
        if (linesInSecond >= maxLinesPerSecond) {
            suppressedLines++;
            return;
        }
        linesInSecond++;
        log(message, suppressedLines === 0 ? fields : { ...fields, suppressedLines });
        suppressedLines = 0;
    };
}
