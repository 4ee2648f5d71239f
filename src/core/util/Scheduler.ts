import type { Clock } from "./Clock.js";

/** Time and timers, passed in so that tests and benchmarks run on a virtual clock. */
export interface Scheduler extends Clock {
    /** Wall-clock milliseconds since the epoch; for what people read, never for deadlines. */
    wallMs(): number;
    /** Calls `callback` once after `delayMs`, unless `signal` aborts first. */
    after(delayMs: number, callback: () => void, signal: AbortSignal): void;
    /** Calls `callback` every `periodMs` until `signal` aborts. */
    every(periodMs: number, callback: () => void, signal: AbortSignal): void;
}
