interface Prompt {
    /** Parts shared with other prompts, in order. */
    readonly parts: readonly { readonly id: string; readonly tokens: number; }[];
    readonly ownTokens: number;
    readonly outputTokens: number;
}

interface EngineCall {
    readonly prompt: Prompt;
    readonly arrivedAtMs: number;
    readonly priority: number;
    pendingPrefillTokens: number;
    /** Prompt tokens that were cached or have been prefilled. */
    contextTokens: number;
    remainingOutputTokens: number;
    tokensSinceEvent: number;
    lastEventAtMs: number | undefined;
    firstEventMs: number | undefined;
    maxGapMs: number;
    readonly onFirst: () => void;
    readonly onGap: (gapMs: number) => void;
    readonly onEnd: (call: Readonly<EngineCall>) => void;
}

interface EngineModelOptions {
    /** Number of calls that run concurrently; further calls are queued. */
    readonly slots: number;
    readonly tokensPerEvent: number;
    /** Capacity of the prefix cache for shared parts, in tokens; the least recently used parts are evicted. */
    readonly prefixCacheTokens: number;
    /** Prompt tokens prefilled per millisecond, and at most in one step. */
    readonly tokensPerMs?: number;
    readonly prefillChunkTokens?: number;
    /** Duration of a step without prefill. */
    readonly stepMs?: number;
    /** Factor by which a step takes longer. */
    readonly slowdownFactor: (nowMs: number) => number;
}

const defaultStepMs = 4.39;
const defaultPrefillChunkTokens = 2_048;
const defaultTokensPerMs = 69.8;
const attentionMsPerMillionPairs = 0.589;
/** Delay from the end of prefill to the first event. */
const firstEventDelayMs = 110;

/** Simulates an engine whose every step decodes one token of each running stream and prefills one chunk of the most urgent prompts. */
export class SimulatedEngine {
    private readonly queued: EngineCall[] = [];
    private readonly prefilling: EngineCall[] = [];
    private readonly decoding: EngineCall[] = [];
    /** Cached shared parts and their tokens by id, the least recently used first. */
    private readonly prefixCache = new Map<string, number>();
    private cachedTokens = 0;
    private busyUntilMs = 0;
    /** Number of prompt tokens prefilled so far. */
    prefilledTokens = 0;

    constructor(private readonly options: EngineModelOptions) {}

    /**
     * Queues a prompt. Shared parts up to the first one that is not in the prefix cache need no prefill. Returns a function that cancels
     * the call.
     */
    submit(
        prompt: Prompt,
        call: {
            readonly nowMs: number;
            readonly priority: number;
            readonly onFirst: () => void;
            /** Called for each event after the first, with the time since the previous one. */
            readonly onGap: (gapMs: number) => void;
            readonly onEnd: (call: Readonly<EngineCall>) => void;
        },
    ): () => void {
        const engineCall: EngineCall = {
            prompt,
            arrivedAtMs: call.nowMs,
            priority: call.priority,
            pendingPrefillTokens: 0,
            contextTokens: 0,
            remainingOutputTokens: prompt.outputTokens,
            tokensSinceEvent: 0,
            lastEventAtMs: undefined,
            firstEventMs: undefined,
            maxGapMs: 0,
            onFirst: call.onFirst,
            onGap: call.onGap,
            onEnd: call.onEnd,
        };
        insertByPriority(this.queued, engineCall);
        this.fillSlots();
        return () => {
            this.cancel(engineCall);
        };
    }

    /** Runs all steps that begin before `nowMs`. */
    advance(nowMs: number): void {
        while (this.busyUntilMs < nowMs) {
            if (this.prefilling.length === 0 && this.decoding.length === 0) {
                this.busyUntilMs = nowMs;
                return;
            }
            this.step();
        }
    }

    private cancel(call: EngineCall): void {
        for (const calls of [this.queued, this.prefilling, this.decoding]) {
            const index = calls.indexOf(call);
            if (index >= 0) {
                calls.splice(index, 1);
            }
        }
        this.fillSlots();
    }

    private fillSlots(): void {
        while (this.queued.length > 0 && this.prefilling.length + this.decoding.length < this.options.slots) {
            const call = this.queued.shift() as EngineCall;
            call.contextTokens = this.cacheParts(call.prompt.parts);
            call.pendingPrefillTokens = call.prompt.ownTokens + sumTokens(call.prompt.parts) - call.contextTokens;
            insertByPriority(this.prefilling, call);
        }
    }

    /** Adds the parts to the prefix cache. Returns the tokens of the leading parts that were cached already. */
    private cacheParts(parts: Prompt["parts"]): number {
        const firstUncached = parts.findIndex(part => !this.prefixCache.has(part.id));
        const cachedTokens = sumTokens(firstUncached < 0 ? parts : parts.slice(0, firstUncached));
        for (const { id, tokens } of parts) {
            this.cachedTokens += this.prefixCache.delete(id) ? 0 : tokens;
            this.prefixCache.set(id, tokens);
        }
        for (const [id, tokens] of this.prefixCache) {
            if (this.cachedTokens <= this.options.prefixCacheTokens) {
                break;
            }
            this.prefixCache.delete(id);
            this.cachedTokens -= tokens;
        }
        return cachedTokens;
    }

    private step(): void {
        const { stepMs = defaultStepMs, tokensPerMs = defaultTokensPerMs, prefillChunkTokens = defaultPrefillChunkTokens } = this.options;
        let tokens = 0;
        let pairs = 0;
        const prefilled: EngineCall[] = [];
        for (const call of this.prefilling) {
            const callTokens = Math.min(prefillChunkTokens - tokens, call.pendingPrefillTokens);
            pairs += callTokens * (call.contextTokens + callTokens / 2);
            tokens += callTokens;
            call.pendingPrefillTokens -= callTokens;
            call.contextTokens += callTokens;
            if (call.pendingPrefillTokens <= 0) {
                prefilled.push(call);
            }
            if (tokens >= prefillChunkTokens) {
                break;
            }
        }
        const stepDurationMs = stepMs + tokens / tokensPerMs + pairs / 1_000_000 * attentionMsPerMillionPairs;
        this.busyUntilMs += stepDurationMs * this.options.slowdownFactor(this.busyUntilMs);
        this.prefilledTokens += tokens;
        for (const call of [...this.decoding]) {
            this.decodeToken(call);
        }
        for (const call of prefilled) {
            this.prefilling.splice(this.prefilling.indexOf(call), 1);
            this.decoding.push(call);
        }
        this.fillSlots();
    }

    private decodeToken(call: EngineCall): void {
        call.remainingOutputTokens--;
        call.tokensSinceEvent++;
        if (call.tokensSinceEvent < this.options.tokensPerEvent && call.remainingOutputTokens > 0) {
            return;
        }
        call.tokensSinceEvent = 0;
        const eventMs = this.busyUntilMs + firstEventDelayMs;
        if (call.lastEventAtMs === undefined) {
            call.firstEventMs = eventMs - call.arrivedAtMs;
            call.onFirst();
        }
        else {
            call.onGap(eventMs - call.lastEventAtMs);
            call.maxGapMs = Math.max(call.maxGapMs, eventMs - call.lastEventAtMs);
        }
        call.lastEventAtMs = eventMs;
        if (call.remainingOutputTokens <= 0) {
            this.decoding.splice(this.decoding.indexOf(call), 1);
            call.onEnd(call);
        }
    }
}

function insertByPriority(calls: EngineCall[], call: EngineCall): void {
    const index = calls.findIndex(other => other.priority > call.priority);
    calls.splice(index < 0 ? calls.length : index, 0, call);
}

function sumTokens(parts: Prompt["parts"]): number {
    return parts.reduce((total, part) => total + part.tokens, 0);
}
