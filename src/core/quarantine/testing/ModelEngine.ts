import type { Scheduler } from "../../util/Scheduler.js";
import type { ModelAttempt } from "./ModelAttempt.js";

const prefillTokensPerMs = 69.8;
const sharedTokens = 6_300;
const ownTokens = 2_890;

/** An engine that prefills one prompt at a time and streams up to `slots` responses. */
export class ModelEngine {
    isUp = true;
    private incarnation = 0;
    private readonly queue: ModelAttempt[] = [];
    private readonly streaming = new Set<ModelAttempt>();
    private prefilling: ModelAttempt | undefined;
    private cachedParts = new Set<string>();

    constructor(
        readonly index: number,
        private readonly slots: number,
        private readonly streamMs: number,
        private readonly scheduler: Scheduler,
        private readonly signal: AbortSignal,
        private readonly onPrefilled: (attempt: ModelAttempt) => void,
    ) {}

    /** Identifies the engine's present process. */
    get key(): string {
        return `engine-${this.index}/${this.incarnation}`;
    }

    /** Expected time until the first event of a call that is sent now. */
    estimateWaitMs(partIds: readonly string[]): number {
        const missingSlots = Math.max(0, this.queue.length + this.streaming.size + 1 - this.slots);
        const waiting = this.queue.length + (this.prefilling === undefined ? 0 : 1);
        return this.getPrefillMs(partIds) + waiting * ownTokens / prefillTokensPerMs + missingSlots * this.streamMs / this.slots;
    }

    add(attempt: ModelAttempt): void {
        this.queue.push(attempt);
        this.prefillNext();
    }

    /** Takes all attempts from the engine, which is down until `restart`. */
    crash(): readonly ModelAttempt[] {
        const victims = [...this.streaming, ...this.queue, ...(this.prefilling === undefined ? [] : [this.prefilling])];
        this.isUp = false;
        this.incarnation++;
        this.queue.length = 0;
        this.streaming.clear();
        this.prefilling = undefined;
        this.cachedParts = new Set();
        return victims.filter(victim => victim.state !== "ended");
    }

    restart(): void {
        this.isUp = true;
    }

    /** Lets an attempt stream that has been prefilled. */
    begin(attempt: ModelAttempt): void {
        attempt.state = "streaming";
        this.streaming.add(attempt);
        this.scheduler.after(this.streamMs, () => {
            attempt.state = "ended";
            this.streaming.delete(attempt);
            this.prefillNext();
        }, this.signal);
    }

    private prefillNext(): void {
        if (this.prefilling !== undefined || this.streaming.size >= this.slots) {
            return;
        }
        const attempt = this.queue.shift();
        if (attempt === undefined) {
            return;
        }
        if (attempt.state === "ended") {
            this.prefillNext();
            return;
        }
        this.prefilling = attempt;
        const { incarnation } = this;
        this.scheduler.after(this.getPrefillMs(attempt.call.partIds), () => {
            if (incarnation !== this.incarnation) {
                return;
            }
            if (attempt.state === "waiting") {
                attempt.call.partIds.forEach(id => this.cachedParts.add(id));
                this.onPrefilled(attempt);
            }
            if (incarnation === this.incarnation) {
                this.prefilling = undefined;
                this.prefillNext();
            }
        }, this.signal);
    }

    private getPrefillMs(partIds: readonly string[]): number {
        const missing = partIds.findIndex(id => !this.cachedParts.has(id));
        const uncachedShare = missing < 0 ? 0 : 1 - missing / partIds.length;
        return (ownTokens + sharedTokens * uncachedShare) / prefillTokensPerMs;
    }
}
