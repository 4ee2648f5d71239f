import type { Scheduler } from "../../../core/util/Scheduler.js";

/** Clock and timers of one simulated VM. While it is suspended its monotonic clock stands still and nothing runs; its wall clock goes on. */
export class VmClock implements Scheduler {
    /** Error of the wall clock. */
    wallOffsetMs = 0;
    private suspendedMs = 0;
    private suspendedSinceMs: number | undefined;
    private deferred: (() => void)[] = [];

    constructor(private readonly trueTime: Scheduler) {}

    nowMs(): number {
        return (this.suspendedSinceMs ?? this.trueTime.nowMs()) - this.suspendedMs;
    }

    wallMs(): number {
        return this.trueTime.wallMs() + this.wallOffsetMs;
    }

    get isSuspended(): boolean {
        return this.suspendedSinceMs !== undefined;
    }

    suspend(): void {
        this.suspendedSinceMs ??= this.trueTime.nowMs();
    }

    resume(): void {
        if (this.suspendedSinceMs === undefined) {
            return;
        }
        this.suspendedMs += this.trueTime.nowMs() - this.suspendedSinceMs;
        this.suspendedSinceMs = undefined;
        for (const callback of this.deferred.splice(0)) {
            callback();
        }
    }

    /** Runs `callback` now, or when the VM is resumed. */
    whenRunning(callback: () => void): void {
        if (this.isSuspended) {
            this.deferred.push(callback);
        }
        else {
            callback();
        }
    }

    after(delayMs: number, callback: () => void, signal: AbortSignal): void {
        const dueMs = this.nowMs() + delayMs;
        const fire = () => {
            this.whenRunning(() => {
                const remainingMs = dueMs - this.nowMs();
                if (signal.aborted) {
                    return;
                }
                if (remainingMs > 0) {
                    this.trueTime.after(remainingMs, fire, signal);
                }
                else {
                    callback();
                }
            });
        };
        this.trueTime.after(delayMs, fire, signal);
    }

    every(periodMs: number, callback: (latenessMs: number) => void, signal: AbortSignal): void {
        this.after(periodMs, () => {
            callback(0);
            this.every(periodMs, callback, signal);
        }, signal);
    }
}
