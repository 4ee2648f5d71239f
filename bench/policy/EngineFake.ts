import type { EngineCall } from "./EngineCall.js";
import { engineProfile } from "./engineProfile.js";
import type { EventLoop } from "./EventLoop.js";

/** A model engine: continuous batching with chunked prompt reading, a prefix cache of limited size, priorities and hidden slow-downs. */
export class EngineFake {
    slowFactor = 1;
    isDown = false;
    /** What it last reported, late. */
    reportedLoad = 0;
    /** Calls on their way here, counted by the clairvoyant alone. */
    expected = 0;
    private running: EngineCall[] = [];
    private waiting: EngineCall[] = [];
    private readonly cache = new Map<number, true>();
    private isStepping = false;

    constructor(readonly id: string, readonly zone: string, private readonly loop: EventLoop) {}

    get load(): number {
        return this.running.length + this.waiting.length;
    }

    get calls(): readonly EngineCall[] {
        return [...this.running, ...this.waiting];
    }

    /** Prompt tokens still to be read for the calls here. */
    get unreadTokens(): number {
        return this.unreadTokensAhead(Infinity);
    }

    /** Prompt tokens to be read before those of a new call of this priority. */
    unreadTokensAhead(priority: number): number {
        let tokens = 0;
        for (const call of this.running) {
            tokens += call.priority <= priority ? call.unreadTokens : 0;
        }
        for (const call of this.waiting) {
            tokens += call.priority <= priority ? call.job.promptTokens : 0;
        }
        return tokens;
    }

    submit(call: EngineCall): void {
        if (this.isDown) {
            call.onEnd("broken");
            return;
        }
        this.waiting.push(call);
        this.wake();
    }

    cancel(call: EngineCall): void {
        this.running = this.running.filter(other => other !== call);
        this.waiting = this.waiting.filter(other => other !== call);
    }

    crash(): void {
        const lost = this.calls;
        this.isDown = true;
        this.running = [];
        this.waiting = [];
        this.cache.clear();
        for (const call of lost) {
            call.onEnd("broken");
        }
    }

    /** Prompt tokens it would not have to read again. */
    cachedTokens(prefixHashes: readonly number[]): number {
        let blocks = 0;
        while (blocks < prefixHashes.length && this.cache.has(prefixHashes[blocks] as number)) {
            blocks++;
        }
        return blocks * engineProfile.blockTokens;
    }

    private wake(): void {
        if (!this.isStepping) {
            this.isStepping = true;
            this.step();
        }
    }

    private step(): void {
        this.admit();
        if (this.running.length === 0) {
            this.isStepping = false;
            return;
        }
        const chunk = this.readPrompts();
        const decoding = this.running.filter(call => call.unreadTokens === 0);
        const stepMs = engineProfile.stepBaseMs + decoding.length * engineProfile.stepPerRequestMs +
            chunk * engineProfile.prefillMsPerToken;
        this.loop.after(stepMs * this.slowFactor, () => {
            this.finishStep(decoding);
            this.step();
        });
    }

    private admit(): void {
        while (this.running.length < engineProfile.maxBatch && this.waiting.length > 0) {
            const call = this.takeMostUrgent();
            const cached = this.cachedTokens(call.job.prefixHashes);
            call.unreadTokens = Math.max(1, call.job.promptTokens - cached + call.resumeFrom);
            call.readTokens = 0;
            this.running.push(call);
        }
    }

    private takeMostUrgent(): EngineCall {
        let best = 0;
        for (let index = 1; index < this.waiting.length; index++) {
            if ((this.waiting[index] as EngineCall).priority < (this.waiting[best] as EngineCall).priority) {
                best = index;
            }
        }
        return this.waiting.splice(best, 1)[0] as EngineCall;
    }

    /** Reads up to one chunk of prompts, most urgent first; gives the tokens read. */
    private readPrompts(): number {
        let budget: number = engineProfile.prefillChunkTokens;
        const unread = this.running.filter(call => call.unreadTokens > 0).sort((left, right) => left.priority - right.priority);
        for (const call of unread) {
            const tokens = Math.min(budget, call.unreadTokens);
            call.unreadTokens -= tokens;
            call.readTokens += tokens;
            budget -= tokens;
            if (call.unreadTokens === 0) {
                this.remember(call.job.prefixHashes);
            }
        }
        return engineProfile.prefillChunkTokens - budget;
    }

    private remember(prefixHashes: readonly number[]): void {
        for (const hash of prefixHashes) {
            this.cache.delete(hash);
            this.cache.set(hash, true);
        }
        while (this.cache.size > engineProfile.cacheBlocks) {
            this.cache.delete(this.cache.keys().next().value as number);
        }
    }

    private finishStep(decoding: readonly EngineCall[]): void {
        for (const call of decoding) {
            if (!this.running.includes(call)) {
                continue;
            }
            call.givenTokens++;
            call.onToken();
            if (call.resumeFrom + call.givenTokens >= call.job.outputTokens) {
                this.cancel(call);
                call.onEnd("completed");
            }
        }
    }
}
