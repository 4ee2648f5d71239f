import type { Scheduler } from "../../core/util/Scheduler.js";

/** Scheduler backed by the clock and timers of the process. */
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

    /** Fires at multiples of the period, so that timers of different tasks coincide and wake the process less often. */
    every(periodMs: number, callback: (latenessMs: number) => void, signal: AbortSignal): void {
        if (signal.aborted) {
            return;
        }
        let dueMs = 0;
        let timer: NodeJS.Timeout;
        const scheduleNext = (nowMs: number) => {
            dueMs = Math.max(dueMs + periodMs, Math.floor(nowMs / periodMs + 1) * periodMs);
            timer = setTimeout(() => {
                const nowMs = this.nowMs();
                const latenessMs = Math.max(0, nowMs - dueMs);
                scheduleNext(nowMs);
                callback(latenessMs);
            }, Math.ceil(dueMs - nowMs));
        };
        scheduleNext(this.nowMs());
        signal.addEventListener("abort", () => {
            clearTimeout(timer);
        }, { once: true });
    }
}
