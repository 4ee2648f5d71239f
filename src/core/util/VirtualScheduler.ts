import type { Scheduler } from "./Scheduler.js";

interface Timer {
    readonly dueMs: number;
    readonly sequence: number;
    readonly callback: () => void;
    readonly signal: AbortSignal;
}

/** A scheduler on virtual time, which only `advance` and `advanceAsync` move. Timers with the same due time fire in creation order. */
export class VirtualScheduler implements Scheduler {
    private timeMs = 0;
    private sequence = 0;
    /** Binary min-heap by due time, then by creation order. */
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
        this.siftUp(this.timers.length - 1);
    }

    every(periodMs: number, callback: (latenessMs: number) => void, signal: AbortSignal): void {
        const repeat = () => {
            callback(0);
            this.after(periodMs, repeat, signal);
        };
        this.after(periodMs, repeat, signal);
    }

    /** Moves time forward by `durationMs` and fires the timers that become due. */
    advance(durationMs: number): void {
        const endMs = this.timeMs + durationMs;
        for (let timer = this.popDue(endMs); timer !== undefined; timer = this.popDue(endMs)) {
            this.timeMs = Math.max(this.timeMs, timer.dueMs);
            if (!timer.signal.aborted) {
                timer.callback();
            }
        }
        this.timeMs = endMs;
    }

    /** Like `advance`, but lets pending promise callbacks run before the first timer and after each one. */
    async advanceAsync(durationMs: number): Promise<void> {
        const endMs = this.timeMs + durationMs;
        await this.settlePromises();
        for (let timer = this.popDue(endMs); timer !== undefined; timer = this.popDue(endMs)) {
            this.timeMs = Math.max(this.timeMs, timer.dueMs);
            if (!timer.signal.aborted) {
                timer.callback();
            }
            await this.settlePromises();
        }
        this.timeMs = endMs;
    }

    private popDue(endMs: number): Timer | undefined {
        const first = this.timers[0];
        if (first === undefined || first.dueMs > endMs) {
            return undefined;
        }
        const last = this.timers.pop();
        if (last !== undefined && last !== first) {
            this.timers[0] = last;
            this.siftDown(0);
        }
        return first;
    }

    /** Moves a timer towards the root of the heap until its parent is earlier. */
    private siftUp(start: number): void {
        let index = start;
        while (index > 0) {
            const parent = (index - 1) >> 1;
            if (!this.swapIfEarlier(index, parent)) {
                return;
            }
            index = parent;
        }
    }

    private siftDown(start: number): void {
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

    /** Resolves in a macrotask, which runs after all queued microtasks. */
    private settlePromises(): Promise<void> {
        return new Promise(resolve => setImmediate(resolve));
    }
}

function isEarlier(left: Timer, right: Timer): boolean {
    return left.dueMs < right.dueMs || (left.dueMs === right.dueMs && left.sequence < right.sequence);
}
