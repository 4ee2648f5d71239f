import type { Scheduler } from "../../src/core/util/Scheduler.js";

/** One process of the fleet, which can be paused, suspended and crashed. Nothing reaches it but through `deliver`. */
export class FakeProcess {
    readonly scheduler: Scheduler;
    /** Difference of the wall clock to the true time. */
    wallSkewMs = 0;
    private state: "running" | "paused" | "crashed" = "running";
    private held: (() => void)[] = [];
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

    /** Runs `callback` now, after the pause, or never. */
    deliver(callback: () => void): void {
        if (this.state === "paused") {
            this.held.push(callback);
        }
        else if (this.state === "running") {
            callback();
        }
    }

    /** Resolves when the process may go on; never after a crash. */
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

    /** Ends a pause. What was held is delivered in order, or newest first; a suspended machine's monotonic clock stood still. */
    async resume(isNewestFirst: boolean, wasSuspended: boolean): Promise<void> {
        if (this.state !== "paused") {
            return;
        }
        this.state = "running";
        this.monotonicLagMs += wasSuspended ? this.base.nowMs() - this.pausedAtMs : 0;
        const held = isNewestFirst ? this.held.reverse() : this.held;
        this.held = [];
        for (const callback of held) {
            this.deliver(callback);
            await new Promise(resolve => setImmediate(resolve));
        }
    }

    crash(): void {
        this.state = "crashed";
        this.held = [];
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

    private every(periodMs: number, callback: () => void, signal: AbortSignal): void {
        this.after(periodMs, () => {
            callback();
            this.every(periodMs, callback, signal);
        }, signal);
    }
}
