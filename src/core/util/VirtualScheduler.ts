import type { Scheduler } from "./Scheduler.js";

interface Timer {
    readonly dueMs: number;
    readonly sequence: number;
    readonly callback: () => void;
    readonly signal: AbortSignal;
}

/** A scheduler whose time moves only by `advance`. Timers due at one instant fire in the order they were set. */
export class VirtualScheduler implements Scheduler {
    private timeMs = 0;
    private sequence = 0;
    private timers: Timer[] = [];

    constructor(private readonly epochMs = 0) {}

    nowMs(): number {
        return this.timeMs;
    }

    wallMs(): number {
        return this.epochMs + this.timeMs;
    }

    after(delayMs: number, callback: () => void, signal: AbortSignal): void {
        const timer = { dueMs: this.timeMs + Math.max(0, delayMs), sequence: this.sequence++, callback, signal };
        this.timers.push(timer);
    }

    every(periodMs: number, callback: () => void, signal: AbortSignal): void {
        const repeat = () => {
            callback();
            this.after(periodMs, repeat, signal);
        };
        this.after(periodMs, repeat, signal);
    }

    /** Moves time forward by `durationMs`, firing what falls due on the way. */
    advance(durationMs: number): void {
        const endMs = this.timeMs + durationMs;
        for (let timer = this.takeDue(endMs); timer !== undefined; timer = this.takeDue(endMs)) {
            this.timeMs = Math.max(this.timeMs, timer.dueMs);
            if (!timer.signal.aborted) {
                timer.callback();
            }
        }
        this.timeMs = endMs;
    }

    /** Like `advance`, in small steps that let promises settle after each timer. */
    async advanceAsync(durationMs: number): Promise<void> {
        const endMs = this.timeMs + durationMs;
        await this.settle();
        for (let timer = this.takeDue(endMs); timer !== undefined; timer = this.takeDue(endMs)) {
            this.timeMs = Math.max(this.timeMs, timer.dueMs);
            if (!timer.signal.aborted) {
                timer.callback();
            }
            await this.settle();
        }
        this.timeMs = endMs;
    }

    private takeDue(endMs: number): Timer | undefined {
        let first = -1;
        for (let index = 0; index < this.timers.length; index++) {
            const timer = this.timers[index] as Timer;
            const best = this.timers[first];
            if (timer.dueMs <= endMs && (best === undefined || isEarlier(timer, best))) {
                first = index;
            }
        }
        return first < 0 ? undefined : this.timers.splice(first, 1)[0];
    }

    /** Lets every promise that is ready settle; a macrotask runs after all queued microtasks. */
    private settle(): Promise<void> {
        return new Promise(resolve => setImmediate(resolve));
    }
}

function isEarlier(left: Timer, right: Timer): boolean {
    return left.dueMs < right.dueMs || (left.dueMs === right.dueMs && left.sequence < right.sequence);
}
