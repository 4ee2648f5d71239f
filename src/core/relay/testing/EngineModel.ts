interface Run {
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
    readonly onEnd: (run: Readonly<Run>) => void;
}

const stepMs = 4.39;
const chunkTokens = 2_048;
const tokensPerMs = 69.8;
const msPerMillionPairs = 0.589;
const tokensPerEvent = 4;
/** From the end of reading to the first event. */
const firstDelayMs = 110;

/** An engine that gives each running stream a token a step and reads one chunk of the most urgent prompt beside them. */
export class EngineModel {
    private readonly reading: Run[] = [];
    private readonly streaming: Run[] = [];
    private readonly keptParts = new Set<string>();
    private busyUntilMs = 0;
    /** Shared tokens that were read although some engine had read them before. */
    readTokens = 0;

    /** `slowness` multiplies the time of each step. */
    constructor(private readonly slowness: (nowMs: number) => number) {}

    /** Takes a prompt with a shared part, which is read only when this engine does not keep it. */
    admit(
        prompt: { readonly part: string; readonly sharedTokens: number; readonly ownTokens: number; readonly outputTokens: number; },
        call: {
            readonly nowMs: number;
            readonly urgency: number;
            readonly onFirst: () => void;
            readonly onEnd: (run: Readonly<Run>) => void;
        },
    ): void {
        const isKept = this.keptParts.has(prompt.part);
        this.keptParts.add(prompt.part);
        const keptTokens = isKept ? prompt.sharedTokens : 0;
        this.reading.push({
            arrivedMs: call.nowMs,
            urgency: call.urgency,
            unreadTokens: prompt.ownTokens + prompt.sharedTokens - keptTokens,
            keptTokens,
            tokensLeft: prompt.outputTokens,
            sinceEvent: 0,
            lastEventMs: undefined,
            firstEventMs: undefined,
            maxGapMs: 0,
            onFirst: call.onFirst,
            onEnd: call.onEnd,
        });
        this.reading.sort((left, right) => left.urgency - right.urgency || left.arrivedMs - right.arrivedMs);
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

    private step(): void {
        const head = this.reading[0];
        const tokens = Math.min(chunkTokens, head?.unreadTokens ?? 0);
        const pairs = tokens * ((head?.keptTokens ?? 0) + tokens / 2);
        const workMs = stepMs + tokens / tokensPerMs + pairs / 1_000_000 * msPerMillionPairs;
        this.busyUntilMs += workMs * this.slowness(this.busyUntilMs);
        this.readTokens += tokens;
        for (const run of [...this.streaming]) {
            this.giveToken(run);
        }
        if (head !== undefined) {
            head.unreadTokens -= tokens;
            head.keptTokens += tokens;
            if (head.unreadTokens <= 0) {
                this.reading.shift();
                this.streaming.push(head);
            }
        }
    }

    private giveToken(run: Run): void {
        run.tokensLeft--;
        run.sinceEvent++;
        if (run.sinceEvent < tokensPerEvent && run.tokensLeft > 0) {
            return;
        }
        run.sinceEvent = 0;
        const eventMs = this.busyUntilMs + firstDelayMs;
        if (run.lastEventMs === undefined) {
            run.firstEventMs = eventMs - run.arrivedMs;
            run.onFirst();
        }
        else {
            run.maxGapMs = Math.max(run.maxGapMs, eventMs - run.lastEventMs);
        }
        run.lastEventMs = eventMs;
        if (run.tokensLeft <= 0) {
            this.streaming.splice(this.streaming.indexOf(run), 1);
            run.onEnd(run);
        }
    }
}
