import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../../core/util/Clock.js";
import type { EngineStream } from "../services/EngineStream.js";
import type { UpstreamError } from "../services/UpstreamError.js";
import type { ResponseSink } from "./ResponseSink.js";
import { ServerSentEventScanner } from "./ServerSentEventScanner.js";
import { ThrownUpstreamError } from "./ThrownUpstreamError.js";

interface StreamSource {
    pause(): void;
    resume(): void;
    /** Closes the connection, which cancels the request on the engine. */
    cancel(): void;
}

interface BufferedChunk {
    readonly events: Buffer;
    readonly tokenCount: number;
}

type OnEvents = Parameters<EngineStream["relay"]>[0];

/** The streamed response of one engine. A slow reader pauses the connection, which applies backpressure to the engine. */
export class HttpEngineStream implements EngineStream, ResponseSink {
    /** Called once, when the stream has ended or failed. */
    onClosed: (failure: ThrownUpstreamError | undefined) => void = () => undefined;
    private readonly scanner: ServerSentEventScanner;
    private readonly completion: PromiseWithResolvers<Result<void, UpstreamError>> = Promise.withResolvers();
    private onEvents: OnEvents | undefined;
    /** Chunks that arrived before `relay` was called or while delivery was paused. */
    private bufferedChunks: BufferedChunk[] = [];
    private isPaused = false;
    private isEnded = false;
    private failure: ThrownUpstreamError | undefined;
    private lastDataMs: number;

    constructor(
        readonly upstreamId: string,
        resumeFromToken: number,
        private readonly source: StreamSource,
        private readonly clock: Clock,
    ) {
        this.scanner = new ServerSentEventScanner(resumeFromToken);
        this.lastDataMs = clock.nowMs();
    }

    get receivedTokens(): number {
        return this.scanner.tokens;
    }

    relay(onEvents: OnEvents): Promise<Result<void, UpstreamError>> {
        this.onEvents = onEvents;
        this.deliverBuffered();
        return this.completion.promise;
    }

    /** Time since the engine last sent data, in ms; 0 while backpressure pauses it and after the end. */
    getIdleMs(nowMs: number): number {
        return this.isPaused || this.isEnded ? 0 : nowMs - this.lastDataMs;
    }

    onData(bytes: Buffer): void {
        if (this.isEnded) {
            return;
        }
        this.lastDataMs = this.clock.nowMs();
        const events = this.scanner.scan(bytes);
        if (this.scanner.isEventTooLong) {
            this.fail(
                new ThrownUpstreamError(
                    "broken",
                    undefined,
                    "engine sent an event larger than 1 MiB; check that it ends events with an empty line",
                ),
            );
            return;
        }
        if (events.length > 0) {
            this.deliverOrBuffer(events, this.scanner.tokens - this.scanner.tokensBeforeScan);
        }
        if (this.scanner.isDone) {
            this.end(undefined);
        }
    }

    onEnd(): void {
        if (this.isEnded) {
            return;
        }
        this.end(new ThrownUpstreamError("broken", undefined, "engine ended its stream before the [DONE] event"));
    }

    onError(failure: ThrownUpstreamError): void {
        this.end(failure);
    }

    /** Ends the stream with a failure and closes the connection. */
    fail(failure: ThrownUpstreamError): void {
        if (!this.isEnded) {
            this.end(failure);
            this.source.cancel();
        }
    }

    private deliverOrBuffer(events: Buffer, tokenCount: number): void {
        if (this.onEvents === undefined || this.isPaused) {
            this.bufferedChunks.push({ events, tokenCount });
            return;
        }
        this.deliver(this.onEvents, events, tokenCount);
    }

    private deliver(onEvents: OnEvents, events: Buffer, tokenCount: number): void {
        const pending = onEvents(events, tokenCount);
        if (pending !== undefined) {
            this.isPaused = true;
            this.source.pause();
            void pending.then(() => {
                this.resumeDelivery();
            });
        }
    }

    private resumeDelivery(): void {
        this.isPaused = false;
        this.lastDataMs = this.clock.nowMs();
        this.deliverBuffered();
        if (!this.isPaused && !this.isEnded) {
            this.source.resume();
        }
    }

    private deliverBuffered(): void {
        while (this.onEvents !== undefined && !this.isPaused && this.bufferedChunks.length > 0) {
            const { events, tokenCount } = this.bufferedChunks.shift() as BufferedChunk;
            this.deliver(this.onEvents, events, tokenCount);
        }
        this.settleIfDelivered();
    }

    private end(failure: ThrownUpstreamError | undefined): void {
        if (this.isEnded) {
            return;
        }
        this.isEnded = true;
        this.failure = failure;
        if (failure?.kind === "cancelled") {
            this.bufferedChunks = [];
            this.isPaused = false;
        }
        this.onClosed(failure);
        this.settleIfDelivered();
    }

    /** Resolves the promise of `relay` once everything received has been delivered, including what arrived before a failure. */
    private settleIfDelivered(): void {
        if (this.isEnded && this.bufferedChunks.length === 0 && !this.isPaused) {
            this.completion.resolve(this.failure === undefined ? ok() : err(this.failure));
        }
    }
}
