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
    private readonly timers: Timer[] = [];

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
        this.moveUp(this.timers.length - 1);
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
        const first = this.timers[0];
        if (first === undefined || first.dueMs > endMs) {
            return undefined;
        }
        const last = this.timers.pop();
        if (last !== undefined && last !== first) {
            this.timers[0] = last;
            this.moveDown(0);
        }
        return first;
    }

    /** The timers form a binary heap with the earliest on top; a timer moves up past later ones. */
    private moveUp(start: number): void {
        let index = start;
        while (index > 0) {
            const parent = (index - 1) >> 1;
            if (!this.swapIfEarlier(index, parent)) {
                return;
            }
            index = parent;
        }
    }

    private moveDown(start: number): void {
        let index = start;
        while (2 * index + 1 < this.timers.length) {
            const left = 2 * index + 1;
            const isRightEarlier = left + 1 < this.timers.length && isEarlier(this.timers[left + 1] as Timer, this.timers[left] as Timer);
            const child = isRightEarlier ? left + 1 : left;
            if (!this.swapIfEarlier(child, index)) {
                return;
            }
            index = child;
        }
    }

    private swapIfEarlier(lower: number, upper: number): boolean {
        const [lowerTimer, upperTimer] = [this.timers[lower] as Timer, this.timers[upper] as Timer];
        if (!isEarlier(lowerTimer, upperTimer)) {
            return false;
        }
        this.timers[lower] = upperTimer;
        this.timers[upper] = lowerTimer;
        return true;
    }

    /** Lets every promise that is ready settle; a macrotask runs after all queued microtasks. */
    private settle(): Promise<void> {
        return new Promise(resolve => setImmediate(resolve));
    }
}

function isEarlier(left: Timer, right: Timer): boolean {
    return left.dueMs < right.dueMs || (left.dueMs === right.dueMs && left.sequence < right.sequence);
}
