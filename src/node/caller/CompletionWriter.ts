import type { CallerError } from "./CallerError.js";

/** Sends the response of a completion to its caller. */
export interface CompletionWriter {
    /** Writes complete server-sent events. Returns a promise when the caller reads more slowly than the engine writes; it settles when the caller has caught up or disconnected. */
    write(events: Buffer): Promise<void> | undefined;
    /** Discards what was written, so that the response can restart; false when part of it has already been sent to the caller. */
    tryReset(): boolean;
    finish(): void;
    /** Tells the caller that the completion failed. */
    fail(error: CallerError): void;
}
