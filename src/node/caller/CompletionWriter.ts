import type { CallerError } from "./CallerError.js";

/** Hands the answer of a completion to its caller. */
export interface CompletionWriter {
    /** Takes whole server-sent events. Returns a promise when the caller is slower than the engine; it settles when the caller has caught up or gone. */
    write(events: Buffer): Promise<void> | undefined;
    /** Drops what was written, so that the answer can start over; false when the caller has some of it already. */
    tryReset(): boolean;
    finish(): void;
    /** Tells the caller that its answer will not become whole. */
    fail(fault: CallerError): void;
}
