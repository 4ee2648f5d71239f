import type { BatchRequest } from "./BatchRequest.js";

/** Continuous batching: each step gives every running request one token; waiting requests join by priority. */
export class BatchLoop {
    private readonly running = new Set<BatchRequest>();
    private waiting: BatchRequest[] = [];
    private dueMs = 0;
    private isScheduled = false;

    constructor(
        private readonly maxBatchSize: number,
        /** Time of the next step for a batch of this size, with prefill of newly joined prompts. */
        private readonly stepMs: (batchSize: number, prefillTokens: number) => number,
    ) {}

    get runningCount(): number {
        return this.running.size;
    }

    get waitingCount(): number {
        return this.waiting.length;
    }

    add(request: BatchRequest): void {
        this.waiting.push(request);
        if (!this.isScheduled) {
            this.dueMs = performance.now();
            this.scheduleStep(this.join());
        }
    }

    remove(request: BatchRequest): void {
        this.running.delete(request);
        this.waiting = this.waiting.filter(waiting => waiting !== request);
    }

    /** Moves waiting requests into the batch; returns the prompt tokens to prefill. */
    private join(): number {
        if (this.waiting.length === 0 || this.running.size >= this.maxBatchSize) {
            return 0;
        }
        this.waiting.sort((left, right) => left.priority - right.priority);
        const joined = this.waiting.splice(0, this.maxBatchSize - this.running.size);
        for (const request of joined) {
            this.running.add(request);
        }
        return joined.reduce((tokens, request) => tokens + request.prefillTokens, 0);
    }

    private scheduleStep(prefillTokens: number): void {
        this.isScheduled = true;
        this.dueMs += this.stepMs(this.running.size, prefillTokens);
        const delayMs = this.dueMs - performance.now();
        if (delayMs > 0) {
            setTimeout(() => {
                this.step();
            }, delayMs);
            return;
        }
        // Late: run as soon as sockets have been served, and do not try to catch up.
        this.dueMs = performance.now();
        setImmediate(() => {
            this.step();
        });
    }

    private step(): void {
        this.isScheduled = false;
        for (const request of this.running) {
            if (request.step() === "finished") {
                this.running.delete(request);
            }
        }
        const prefillTokens = this.join();
        if (this.running.size > 0) {
            this.scheduleStep(prefillTokens);
        }
    }
}
