import type { Clock } from "./Clock.js";

/** Clock and timers; injected, so that tests and benchmarks can run on virtual time. */
export interface Scheduler extends Clock {
    /** Wall-clock time in milliseconds since the epoch. For timestamps only: deadlines use the monotonic `nowMs`. */
    wallMs(): number;
    /** Calls `callback` once after `delayMs`, unless `signal` aborts first. */
    after(delayMs: number, callback: () => void, signal: AbortSignal): void;
    /** Calls `callback` every `periodMs` until `signal` aborts, with the time that has passed since the call was due. */
    every(periodMs: number, callback: (latenessMs: number) => void, signal: AbortSignal): void;
}
