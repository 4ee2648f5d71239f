import type { EngineCall } from "./EngineCall.js";
import { engineProfile } from "./engineProfile.js";
import type { EventLoop } from "./EventLoop.js";

/** Simulated model engine with continuous batching, chunked prefill, a prefix cache of limited size, priorities and slowdowns that it does not report. */
export class EngineFake {
    slowdownFactor = 1;
    isDown = false;
    /** Load in the last report that arrived, which lags behind the real load. */
    reportedLoad = 0;
    /** Calls in transit to this engine; counted only by the clairvoyant policy. */
    callsInTransit = 0;
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

    /** Tokens left to prefill for all calls of this engine. */
    get pendingPrefillTokens(): number {
        return this.pendingPrefillTokensAhead(Infinity);
    }

    /** Tokens to prefill before those of a new call of this priority. */
    pendingPrefillTokensAhead(priority: number): number {
        let tokens = 0;
        for (const call of this.running) {
            tokens += call.priority <= priority ? call.pendingPrefillTokens : 0;
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
        this.startStepping();
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

    /** Returns the number of prompt tokens with these prefix hashes that the prefix cache holds. */
    cachedTokens(prefixHashes: readonly number[]): number {
        let blocks = 0;
        while (blocks < prefixHashes.length && this.cache.has(prefixHashes[blocks] as number)) {
            blocks++;
        }
        return blocks * engineProfile.blockTokens;
    }

    private startStepping(): void {
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
        const chunkTokens = this.prefill();
        const decoding = this.running.filter(call => call.pendingPrefillTokens === 0);
        const stepMs = engineProfile.stepBaseMs + decoding.length * engineProfile.stepPerRequestMs +
            chunkTokens * engineProfile.prefillMsPerToken;
        this.loop.after(stepMs * this.slowdownFactor, () => {
            this.finishStep(decoding);
            this.step();
        });
    }

    /** Fills the batch by priority. If the batch is full, a more urgent call replaces the least urgent running call, which is paused. */
    private admit(): void {
        while (this.waiting.length > 0) {
            const call = mostUrgent(this.waiting);
            if (this.running.length >= engineProfile.maxBatch && !this.pauseBelow(call.priority)) {
                return;
            }
            this.waiting = this.waiting.filter(other => other !== call);
            this.running.push(call);
            this.prepare(call);
        }
    }

    private pauseBelow(priority: number): boolean {
        const victim = leastUrgent(this.running);
        if (victim === undefined || victim.priority <= priority) {
            return false;
        }
        this.running = this.running.filter(other => other !== victim);
        victim.isPaused = true;
        this.waiting.push(victim);
        return true;
    }

    /** Prepares a call for the batch. A paused call continues where it stopped unless its KV cache was evicted in the meantime. */
    private prepare(call: EngineCall): void {
        if (!call.isPaused) {
            const cached = this.cachedTokens(call.job.prefixHashes);
            call.pendingPrefillTokens = Math.max(1, call.job.promptTokens - cached + call.resumedTokens);
        }
        call.isPaused = false;
        this.evictUntilFits();
    }

    /** Evicts prefix-cache blocks, then the KV cache of paused calls, until the rest fits in memory. */
    private evictUntilFits(): void {
        const heldTokens = () => {
            const paused = this.waiting.filter(call => call.isPaused);
            return [...this.running, ...paused].reduce((sum, call) => sum + kvCacheTokensOf(call), 0);
        };
        let held = heldTokens();
        while (this.cache.size > 0 && held + this.cache.size * engineProfile.blockTokens > engineProfile.memoryTokens) {
            this.cache.delete(this.cache.keys().next().value as number);
        }
        for (const call of this.waiting.filter(candidate => candidate.isPaused)) {
            if (held <= engineProfile.memoryTokens) {
                return;
            }
            call.isPaused = false;
            call.recomputedTokens += kvCacheTokensOf(call);
            held = heldTokens();
        }
    }

    /** Prefills up to one chunk, most urgent calls first, and returns the number of tokens prefilled. */
    private prefill(): number {
        let budget: number = engineProfile.prefillChunkTokens;
        const prefilling = this.running.filter(call => call.pendingPrefillTokens > 0).sort((left, right) => left.priority - right.priority);
        for (const call of prefilling) {
            const tokens = Math.min(budget, call.pendingPrefillTokens);
            call.pendingPrefillTokens -= tokens;
            call.prefilledTokens += tokens;
            budget -= tokens;
            if (call.pendingPrefillTokens === 0) {
                this.cachePrefix(call.job.prefixHashes);
            }
        }
        return engineProfile.prefillChunkTokens - budget;
    }

    private cachePrefix(prefixHashes: readonly number[]): void {
        for (const hash of prefixHashes) {
            this.cache.delete(hash);
            this.cache.set(hash, true);
        }
        this.evictUntilFits();
    }

    private finishStep(decoding: readonly EngineCall[]): void {
        for (const call of decoding) {
            if (!this.running.includes(call)) {
                continue;
            }
            call.generatedTokens++;
            call.onToken();
            if (call.resumedTokens + call.generatedTokens >= call.job.outputTokens) {
                this.cancel(call);
                call.onEnd("completed");
            }
        }
    }
}

function kvCacheTokensOf(call: EngineCall): number {
    return call.job.promptTokens - call.pendingPrefillTokens + call.resumedTokens + call.generatedTokens;
}

/** Returns the most urgent call that arrived first; at equal priority, a paused call precedes one that has not started. */
function mostUrgent(calls: readonly EngineCall[]): EngineCall {
    return calls.reduce((best, call) => {
        const isBefore = call.priority < best.priority || (call.priority === best.priority && call.isPaused && !best.isPaused);
        return isBefore ? call : best;
    });
}

/** Returns the least urgent call that was added last. */
function leastUrgent(calls: readonly EngineCall[]): EngineCall | undefined {
    return calls.reduce<EngineCall | undefined>(
        (worst, call) => (worst === undefined || call.priority >= worst.priority ? call : worst),
        undefined,
    );
}
