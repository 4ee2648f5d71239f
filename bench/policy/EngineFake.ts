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

    /** Fills the batch by priority; a more urgent call takes the place of the least urgent running one, which is paused. */
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

    /** A call that was paused goes on where it stood, unless memory ran out meanwhile. */
    private prepare(call: EngineCall): void {
        if (!call.isPaused) {
            const cached = this.cachedTokens(call.job.prefixHashes);
            call.unreadTokens = Math.max(1, call.job.promptTokens - cached + call.resumeFrom);
        }
        call.isPaused = false;
        this.freeMemory();
    }

    /** Drops cached blocks, then the memory of paused calls, until what is held fits. */
    private freeMemory(): void {
        const heldTokens = () => {
            const paused = this.waiting.filter(call => call.isPaused);
            return [...this.running, ...paused].reduce((sum, call) => sum + heldBy(call), 0);
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
            call.rereadTokens += heldBy(call);
            held = heldTokens();
        }
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
        this.freeMemory();
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

function heldBy(call: EngineCall): number {
    return call.job.promptTokens - call.unreadTokens + call.resumeFrom + call.givenTokens;
}

/** The first of the most urgent; a paused call goes before one of the same priority that has not begun. */
function mostUrgent(calls: readonly EngineCall[]): EngineCall {
    return calls.reduce((best, call) => {
        const isBefore = call.priority < best.priority || (call.priority === best.priority && call.isPaused && !best.isPaused);
        return isBefore ? call : best;
    });
}

/** The last come of the least urgent. */
function leastUrgent(calls: readonly EngineCall[]): EngineCall | undefined {
    return calls.reduce<EngineCall | undefined>(
        (worst, call) => (worst === undefined || call.priority >= worst.priority ? call : worst),
        undefined,
    );
}
