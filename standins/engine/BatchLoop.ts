import type { BatchRequest } from "./BatchRequest.js";

/** Continuous batching: each step generates one token for every running request; waiting requests are admitted by priority. */
export class BatchLoop {
    private readonly running = new Set<BatchRequest>();
    private waiting: BatchRequest[] = [];
    private dueMs = 0;
    private isScheduled = false;

    constructor(
        private readonly maxBatchSize: number,
        /** Duration of the next step for a batch of this size, including prefill of the newly admitted prompts. */
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
            this.scheduleStep(this.admitWaiting());
        }
    }

    remove(request: BatchRequest): void {
        this.running.delete(request);
        this.waiting = this.waiting.filter(waiting => waiting !== request);
    }

    /** Moves waiting requests into the batch, most urgent first; returns the number of prompt tokens to prefill. */
    private admitWaiting(): number {
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
        // Behind schedule: run the step once pending I/O has been handled, without making up for lost time.
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
        const prefillTokens = this.admitWaiting();
        if (this.running.size > 0) {
            this.scheduleStep(prefillTokens);
        }
    }
}
