import type { CallerFault } from "./CallerFault.js";

/** Hands the answer of a completion to its caller. */
export interface AnswerSink {
    /** Takes whole server-sent events. Returns a promise when the caller is slower than the engine; it settles when the caller has caught up or gone. */
    write(events: Buffer): Promise<void> | undefined;
    /** Drops what was written, so that the answer can start over; false when the caller has some of it already. */
    restart(): boolean;
    finish(): void;
    /** Tells the caller that its answer will not become whole. */
    fail(fault: CallerFault): void;
}
