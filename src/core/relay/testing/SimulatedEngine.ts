interface Prompt {
    /** Parts that other prompts share, in order. */
    readonly parts: readonly { readonly id: string; readonly tokens: number; }[];
    readonly ownTokens: number;
    readonly outputTokens: number;
}

interface Run {
    readonly prompt: Prompt;
    readonly arrivedMs: number;
    readonly urgency: number;
    unreadTokens: number;
    keptTokens: number;
    tokensLeft: number;
    sinceEvent: number;
    lastEventMs: number | undefined;
    firstEventMs: number | undefined;
    maxGapMs: number;
    readonly onFirst: () => void;
    readonly onGap: (gapMs: number) => void;
    readonly onEnd: (run: Readonly<Run>) => void;
}

interface EngineModelOptions {
    /** Streams that run at once; more wait. */
    readonly slots: number;
    readonly tokensPerEvent: number;
    /** Shared parts that are kept, in tokens; the least recently used yield. */
    readonly prefixCacheTokens: number;
    /** Multiplies the time of each step. */
    readonly slowdownFactor: (nowMs: number) => number;
}

const stepMs = 4.39;
const chunkTokens = 2_048;
const tokensPerMs = 69.8;
const msPerMillionPairs = 0.589;
/** From the end of reading to the first event. */
const firstDelayMs = 110;

/** An engine that gives each running stream a token a step and reads one chunk of the most urgent prompts beside them. */
export class SimulatedEngine {
    private readonly waiting: Run[] = [];
    private readonly reading: Run[] = [];
    private readonly streaming: Run[] = [];
    /** Shared parts by id, the least recently used first. */
    private readonly kept = new Map<string, number>();
    private keptTotal = 0;
    private busyUntilMs = 0;
    /** Prompt tokens read. */
    prefilledTokens = 0;

    constructor(private readonly options: EngineModelOptions) {}

    /** Takes a prompt; its shared parts are read only when this engine does not keep them. */
    submit(
        prompt: Prompt,
        call: {
            readonly nowMs: number;
            readonly priority: number;
            readonly onFirst: () => void;
            /** An event came `gapMs` after the one before it. */
            readonly onGap: (gapMs: number) => void;
            readonly onEnd: (run: Readonly<Run>) => void;
        },
    ): void {
        insertByUrgency(this.waiting, {
            prompt,
            arrivedMs: call.nowMs,
            urgency: call.priority,
            unreadTokens: 0,
            keptTokens: 0,
            tokensLeft: prompt.outputTokens,
            sinceEvent: 0,
            lastEventMs: undefined,
            firstEventMs: undefined,
            maxGapMs: 0,
            onFirst: call.onFirst,
            onGap: call.onGap,
            onEnd: call.onEnd,
        });
        this.fillSlots();
    }

    /** Runs all steps that begin before `nowMs`. */
    advance(nowMs: number): void {
        while (this.busyUntilMs < nowMs) {
            if (this.reading.length === 0 && this.streaming.length === 0) {
                this.busyUntilMs = nowMs;
                return;
            }
            this.step();
        }
    }

    private fillSlots(): void {
        while (this.waiting.length > 0 && this.reading.length + this.streaming.length < this.options.slots) {
            const run = this.waiting.shift() as Run;
            run.keptTokens = this.keep(run.prompt.parts);
            run.unreadTokens = run.prompt.ownTokens + sum(run.prompt.parts) - run.keptTokens;
            insertByUrgency(this.reading, run);
        }
    }

    /** Returns how many tokens of the parts are kept already, and keeps all of them. */
    private keep(parts: Prompt["parts"]): number {
        const missing = parts.findIndex(part => !this.kept.has(part.id));
        const keptTokens = sum(missing < 0 ? parts : parts.slice(0, missing));
        for (const { id, tokens } of parts) {
            this.keptTotal += this.kept.delete(id) ? 0 : tokens;
            this.kept.set(id, tokens);
        }
        for (const [id, tokens] of this.kept) {
            if (this.keptTotal <= this.options.prefixCacheTokens) {
                break;
            }
            this.kept.delete(id);
            this.keptTotal -= tokens;
        }
        return keptTokens;
    }

    private step(): void {
        let tokens = 0;
        let pairs = 0;
        const done: Run[] = [];
        for (const run of this.reading) {
            const part = Math.min(chunkTokens - tokens, run.unreadTokens);
            pairs += part * (run.keptTokens + part / 2);
            tokens += part;
            run.unreadTokens -= part;
            run.keptTokens += part;
            if (run.unreadTokens <= 0) {
                done.push(run);
            }
            if (tokens >= chunkTokens) {
                break;
            }
        }
        const workMs = stepMs + tokens / tokensPerMs + pairs / 1_000_000 * msPerMillionPairs;
        this.busyUntilMs += workMs * this.options.slowdownFactor(this.busyUntilMs);
        this.prefilledTokens += tokens;
        for (const run of [...this.streaming]) {
            this.giveToken(run);
        }
        for (const run of done) {
            this.reading.splice(this.reading.indexOf(run), 1);
            this.streaming.push(run);
        }
        this.fillSlots();
    }

    private giveToken(run: Run): void {
        run.tokensLeft--;
        run.sinceEvent++;
        if (run.sinceEvent < this.options.tokensPerEvent && run.tokensLeft > 0) {
            return;
        }
        run.sinceEvent = 0;
        const eventMs = this.busyUntilMs + firstDelayMs;
        if (run.lastEventMs === undefined) {
            run.firstEventMs = eventMs - run.arrivedMs;
            run.onFirst();
        }
        else {
            run.onGap(eventMs - run.lastEventMs);
            run.maxGapMs = Math.max(run.maxGapMs, eventMs - run.lastEventMs);
        }
        run.lastEventMs = eventMs;
        if (run.tokensLeft <= 0) {
            this.streaming.splice(this.streaming.indexOf(run), 1);
            run.onEnd(run);
        }
    }
}

function insertByUrgency(runs: Run[], run: Run): void {
    const at = runs.findIndex(other => other.urgency > run.urgency);
    runs.splice(at < 0 ? runs.length : at, 0, run);
}

function sum(parts: Prompt["parts"]): number {
    return parts.reduce((total, part) => total + part.tokens, 0);
}
