import type { Scheduler } from "../../core/util/Scheduler.js";

/** The process's own clock and timers. */
export class SystemScheduler implements Scheduler {
    nowMs(): number {
        return performance.now();
    }

    wallMs(): number {
        return Date.now();
    }

    after(delayMs: number, callback: () => void, signal: AbortSignal): void {
        if (signal.aborted) {
            return;
        }
        const cancel = () => {
            clearTimeout(timer);
        };
        const timer = setTimeout(() => {
            signal.removeEventListener("abort", cancel);
            callback();
        }, delayMs);
        signal.addEventListener("abort", cancel, { once: true });
    }

    every(periodMs: number, callback: () => void, signal: AbortSignal): void {
        if (signal.aborted) {
            return;
        }
        const timer = setInterval(callback, periodMs);
        signal.addEventListener("abort", () => {
            clearInterval(timer);
        }, { once: true });
    }
}
