/** A call that a stand-in executed, as listed by `GET /_standin/calls`. */
export interface CallRecord {
    readonly idempotencyKey: string | undefined;
    readonly requestId: string | undefined;
    readonly method: string;
    readonly path: string;
    readonly startedMs: number;
    /** When the call finished or was cancelled, in milliseconds since the epoch; undefined while it runs. */
    endedMs: number | undefined;
    state: "running" | "done" | "cancelled";
    /** Tokens generated so far; always 0 for stand-ins other than engines. */
    tokens: number;
}
