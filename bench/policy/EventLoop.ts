import { IndexedHeap } from "../../src/core/dispatch/IndexedHeap.js";

interface PendingEvent {
    readonly dueMs: number;
    readonly sequence: number;
    readonly callback: () => void;
    position: number;
}

/** Virtual clock that runs callbacks in order of their due time; callbacks due at the same time run in the order in which they were scheduled. */
export class EventLoop {
    nowMs = 0;
    private sequence = 0;
    private readonly heap = new IndexedHeap<PendingEvent>(
        (left, right) => left.dueMs < right.dueMs || (left.dueMs === right.dueMs && left.sequence < right.sequence),
        event => event.position,
        (event, position) => {
            event.position = position;
        },
    );

    after(delayMs: number, callback: () => void): void {
        this.heap.push({ dueMs: this.nowMs + delayMs, sequence: this.sequence++, callback, position: -1 });
    }

    run(untilMs: number): void {
        for (let event = this.heap.peek(); event !== undefined && event.dueMs <= untilMs; event = this.heap.peek()) {
            this.heap.remove(event);
            this.nowMs = event.dueMs;
            event.callback();
        }
        this.nowMs = untilMs;
    }
}
