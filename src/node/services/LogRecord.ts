/** One record of a log stream. */
export interface LogRecord {
    readonly offset: number;
    readonly payload: Uint8Array;
}
