import type { Scheduler } from "../../../core/util/Scheduler.js";

/** Runs the tasks of one VM: none during a stall, and all that have piled up, in order, at its end. */
export class SimulatedProcessor implements Scheduler {
    private readonly backlog: (() => void)[] = [];
    private isStalled = false;

    constructor(private readonly scheduler: Scheduler, private readonly signal: AbortSignal) {}

    nowMs(): number {
        return this.scheduler.nowMs();
    }

    wallMs(): number {
        return this.scheduler.wallMs();
    }

    after(delayMs: number, callback: () => void, signal: AbortSignal): void {
        this.scheduler.after(delayMs, () => {
            this.handle(callback);
        }, signal);
    }

    every(periodMs: number, callback: (latenessMs: number) => void, signal: AbortSignal): void {
        this.scheduler.every(periodMs, () => {
            const dueMs = this.nowMs();
            this.handle(() => {
                callback(this.nowMs() - dueMs);
            });
        }, signal);
    }

    /** Runs a task now, or after the tasks that wait for the end of a stall. */
    handle(task: () => void): void {
        if (this.isStalled || this.backlog.length > 0) {
            this.backlog.push(task);
            return;
        }
        task();
    }

    stall(durationMs: number): void {
        this.isStalled = true;
        this.scheduler.after(durationMs, () => {
            this.isStalled = false;
            this.runBacklog();
        }, this.signal);
    }

    /** Runs each task in a timer of its own, so that promise callbacks of one run before the next, as in an event loop. */
    private runBacklog(): void {
        const task = this.backlog[0];
        if (task === undefined || this.isStalled) {
            return;
        }
        task();
        this.scheduler.after(0, () => {
            this.backlog.shift();
            this.runBacklog();
        }, this.signal);
    }
}
