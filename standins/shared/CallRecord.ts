/** One call that a stand-in ran, as listed by `GET /_standin/calls`. */
export interface CallRecord {
    readonly idempotencyKey: string | undefined;
    readonly requestId: string | undefined;
    readonly method: string;
    readonly path: string;
    readonly startedMs: number;
    /** When the call was done or cancelled, milliseconds since the epoch. */
    endedMs: number | undefined;
    state: "running" | "done" | "cancelled";
    /** Tokens produced, for engines. */
    tokens: number;
}
