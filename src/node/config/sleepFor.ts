import type { Scheduler } from "../../core/util/Scheduler.js";

/** Resolves after `durationMs` on the scheduler's clock. */
export function sleepFor(scheduler: Scheduler, durationMs: number): Promise<void> {
    return new Promise(resolve => {
        scheduler.after(durationMs, resolve, new AbortController().signal);
    });
}
