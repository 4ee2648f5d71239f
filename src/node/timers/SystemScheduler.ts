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

    /** Fires at multiples of the period, so that timers of tasks fall together and wake the process up less often. */
    every(periodMs: number, callback: () => void, signal: AbortSignal): void {
        if (signal.aborted) {
            return;
        }
        let dueMs = 0;
        let timer: NodeJS.Timeout;
        const arm = () => {
            const nowMs = this.nowMs();
            dueMs = Math.max(dueMs + periodMs, Math.floor(nowMs / periodMs + 1) * periodMs);
            timer = setTimeout(() => {
                arm();
                callback();
            }, Math.ceil(dueMs - nowMs));
        };
        arm();
        signal.addEventListener("abort", () => {
            clearTimeout(timer);
        }, { once: true });
    }
}
