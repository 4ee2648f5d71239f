import type { Scheduler } from "../../src/core/util/Scheduler.js";

/** One simulated process of the fleet, which can be paused, suspended and crashed. All its events go through `deliver`. */
export class FakeProcess {
    readonly scheduler: Scheduler;
    /** Offset of the process's wall clock from the base scheduler's wall clock. */
    wallSkewMs = 0;
    private state: "running" | "paused" | "crashed" = "running";
    private heldCallbacks: (() => void)[] = [];
    private pausedAtMs = 0;
    private monotonicLagMs = 0;

    constructor(private readonly base: Scheduler) {
        this.scheduler = {
            nowMs: () => base.nowMs() - this.monotonicLagMs,
            wallMs: () => base.wallMs() + this.wallSkewMs,
            after: (delayMs, callback, signal) => {
                this.after(delayMs, callback, signal);
            },
            every: (periodMs, callback, signal) => {
                this.every(periodMs, callback, signal);
            },
        };
    }

    get isRunning(): boolean {
        return this.state === "running";
    }

    get isCrashed(): boolean {
        return this.state === "crashed";
    }

    /** Runs `callback` immediately, after the current pause, or never if the process has crashed. */
    deliver(callback: () => void): void {
        if (this.state === "paused") {
            this.heldCallbacks.push(callback);
        }
        else if (this.state === "running") {
            callback();
        }
    }

    /** Resolves once the process is running; never resolves after a crash. */
    gate(): Promise<void> {
        return new Promise(resolve => {
            this.deliver(resolve);
        });
    }

    pause(): void {
        if (this.state === "running") {
            this.state = "paused";
            this.pausedAtMs = this.base.nowMs();
        }
    }

    /** Ends a pause and delivers held callbacks, oldest or newest first. During a suspension the monotonic clock does not advance. */
    async resume(isNewestFirst: boolean, wasSuspended: boolean): Promise<void> {
        if (this.state !== "paused") {
            return;
        }
        this.state = "running";
        this.monotonicLagMs += wasSuspended ? this.base.nowMs() - this.pausedAtMs : 0;
        const heldCallbacks = isNewestFirst ? this.heldCallbacks.reverse() : this.heldCallbacks;
        this.heldCallbacks = [];
        for (const callback of heldCallbacks) {
            this.deliver(callback);
            await new Promise(resolve => setImmediate(resolve));
        }
    }

    crash(): void {
        this.state = "crashed";
        this.heldCallbacks = [];
    }

    private after(delayMs: number, callback: () => void, signal: AbortSignal): void {
        this.base.after(delayMs, () => {
            this.deliver(() => {
                if (!signal.aborted) {
                    callback();
                }
            });
        }, signal);
    }

    private every(periodMs: number, callback: (latenessMs: number) => void, signal: AbortSignal): void {
        const dueMs = this.base.nowMs() + periodMs;
        this.after(periodMs, () => {
            callback(Math.max(0, this.base.nowMs() - dueMs));
            this.every(periodMs, callback, signal);
        }, signal);
    }
}
