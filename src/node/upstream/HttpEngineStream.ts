import type { Clock } from "../../core/util/Clock.js";
import type { EngineChunk } from "../services/EngineChunk.js";
import type { EngineStream } from "../services/EngineStream.js";
import { EngineEvents } from "./EngineEvents.js";
import { EngineFailure } from "./EngineFailure.js";
import { EventScanner } from "./EventScanner.js";
import type { ResponseSink } from "./ResponseSink.js";

const pauseAboveBytes = 64 * 1024;

interface StreamSource {
    pause(): void;
    resume(): void;
    /** Closes the connection, which cancels the work on the engine. */
    cancel(): void;
}

interface Waiter {
    readonly resolve: (result: IteratorResult<EngineChunk, undefined>) => void;
    readonly reject: (failure: EngineFailure) => void;
}

/** The answer of one engine: events are queued up to a bound, then the connection is paused until the reader has caught up. */
export class HttpEngineStream implements EngineStream, ResponseSink, AsyncIterator<EngineChunk, undefined> {
    /** When the engine last sent anything; the reader's own pauses do not count against the engine. */
    lastDataMs: number;
    /** Called once, when no more will come. */
    onClosed: (failure: EngineFailure | undefined) => void = () => undefined;
    private readonly scanner: EventScanner;
    private queue: EngineChunk[] = [];
    private queuedBytes = 0;
    private isPaused = false;
    private isEnded = false;
    private failure: EngineFailure | undefined;
    private waiter: Waiter | undefined;

    constructor(
        readonly upstreamId: string,
        resumeFromToken: number,
        private readonly source: StreamSource,
        private readonly clock: Clock,
    ) {
        this.scanner = new EventScanner(resumeFromToken);
        this.lastDataMs = clock.nowMs();
    }

    [Symbol.asyncIterator](): AsyncIterator<EngineChunk, undefined> {
        return this;
    }

    get receivedTokens(): number {
        return this.scanner.tokens;
    }

    /** How long the engine has been silent; 0 while the reader holds it back. */
    silentMs(nowMs: number): number {
        return this.isPaused || this.isEnded ? 0 : nowMs - this.lastDataMs;
    }

    next(): Promise<IteratorResult<EngineChunk, undefined>> {
        const chunk = this.queue.shift();
        if (chunk !== undefined) {
            this.queuedBytes -= chunk.events.length;
            this.resumeWhenDrained();
            return Promise.resolve({ done: false, value: chunk });
        }
        if (this.failure !== undefined) {
            return Promise.reject(this.failure);
        }
        if (this.isEnded) {
            return Promise.resolve({ done: true, value: undefined });
        }
        return new Promise((resolve, reject) => {
            this.waiter = { resolve, reject };
        });
    }

    /** Leaving the loop cancels the stream on the engine. */
    return(): Promise<IteratorResult<EngineChunk, undefined>> {
        if (!this.isEnded) {
            this.end(undefined);
            this.source.cancel();
        }
        return Promise.resolve({ done: true, value: undefined });
    }

    onData(bytes: Buffer): void {
        if (this.isEnded) {
            return;
        }
        this.lastDataMs = this.clock.nowMs();
        const events = this.scanner.scan(bytes);
        if (this.scanner.isTooLong) {
            this.fail(
                new EngineFailure("broken", undefined, "engine sent an event of over 1 MiB; check that it ends events with an empty line"),
            );
            return;
        }
        if (events.length > 0) {
            const { tokens, tokensBefore } = this.scanner;
            this.push(new EngineEvents(tokensBefore, tokens - tokensBefore, events));
        }
        if (this.scanner.isDone) {
            this.end(undefined);
        }
    }

    onEnd(): void {
        if (!this.isEnded) {
            this.end(new EngineFailure("broken", undefined, "engine ended its stream before the answer was whole"));
        }
    }

    onError(failure: EngineFailure): void {
        if (!this.isEnded) {
            this.end(failure);
        }
    }

    /** Ends the stream with a failure and closes the connection. */
    fail(failure: EngineFailure): void {
        if (!this.isEnded) {
            this.end(failure);
            this.source.cancel();
        }
    }

    private push(chunk: EngineChunk): void {
        const waiter = this.waiter;
        if (waiter !== undefined) {
            this.waiter = undefined;
            waiter.resolve({ done: false, value: chunk });
            return;
        }
        this.queue.push(chunk);
        this.queuedBytes += chunk.events.length;
        if (this.queuedBytes > pauseAboveBytes && !this.isPaused) {
            this.isPaused = true;
            this.source.pause();
        }
    }

    private resumeWhenDrained(): void {
        if (this.isPaused && this.queuedBytes <= pauseAboveBytes / 2) {
            this.isPaused = false;
            this.lastDataMs = this.clock.nowMs();
            this.source.resume();
        }
    }

    private end(failure: EngineFailure | undefined): void {
        this.isEnded = true;
        this.failure = failure;
        this.onClosed(failure);
        const waiter = this.waiter;
        this.waiter = undefined;
        if (waiter === undefined) {
            return;
        }
        if (failure === undefined) {
            waiter.resolve({ done: true, value: undefined });
        }
        else {
            waiter.reject(failure);
        }
    }
}
