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
    /** Closes the connection, which cancels the work on the engine. */
    cancel(): void;
}

interface HeldPiece {
    readonly events: Buffer;
    readonly tokenCount: number;
}

type OnEvents = Parameters<EngineStream["relay"]>[0];

/** The answer of one engine. While its reader is slow the connection is paused, so that the engine is held back. */
export class HttpEngineStream implements EngineStream, ResponseSink {
    /** Called once, when no more will come. */
    onClosed: (failure: ThrownUpstreamError | undefined) => void = () => undefined;
    private readonly scanner: ServerSentEventScanner;
    private readonly whole: PromiseWithResolvers<Result<void, UpstreamError>> = Promise.withResolvers();
    private onEvents: OnEvents | undefined;
    /** Pieces that arrived before the reader or while it was slow. */
    private held: HeldPiece[] = [];
    private isHeldBack = false;
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
        this.deliverHeld();
        return this.whole.promise;
    }

    /** How long the engine has been silent; 0 while the reader holds it back. */
    getIdleMs(nowMs: number): number {
        return this.isHeldBack || this.isEnded ? 0 : nowMs - this.lastDataMs;
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
                    "engine sent an event of over 1 MiB; check that it ends events with an empty line",
                ),
            );
            return;
        }
        if (events.length > 0) {
            this.take(events, this.scanner.tokens - this.scanner.tokensBeforeScan);
        }
        if (this.scanner.isDone) {
            this.end(undefined);
        }
    }

    onEnd(): void {
        if (this.isEnded) {
            return;
        }
        this.end(new ThrownUpstreamError("broken", undefined, "engine ended its stream before the answer was whole"));
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

    private take(events: Buffer, tokenCount: number): void {
        if (this.onEvents === undefined || this.isHeldBack) {
            this.held.push({ events, tokenCount });
            return;
        }
        this.deliver(this.onEvents, events, tokenCount);
    }

    private deliver(onEvents: OnEvents, events: Buffer, tokenCount: number): void {
        const pending = onEvents(events, tokenCount);
        if (pending !== undefined) {
            this.isHeldBack = true;
            this.source.pause();
            void pending.then(() => {
                this.letGoOn();
            });
        }
    }

    private letGoOn(): void {
        this.isHeldBack = false;
        this.lastDataMs = this.clock.nowMs();
        this.deliverHeld();
        if (!this.isHeldBack && !this.isEnded) {
            this.source.resume();
        }
    }

    private deliverHeld(): void {
        while (this.onEvents !== undefined && !this.isHeldBack && this.held.length > 0) {
            const { events, tokenCount } = this.held.shift() as HeldPiece;
            this.deliver(this.onEvents, events, tokenCount);
        }
        this.settle();
    }

    private end(failure: ThrownUpstreamError | undefined): void {
        if (this.isEnded) {
            return;
        }
        this.isEnded = true;
        this.failure = failure;
        if (failure?.kind === "cancelled") {
            this.held = [];
            this.isHeldBack = false;
        }
        this.onClosed(failure);
        this.settle();
    }

    /** What arrived before a break is still delivered. */
    private settle(): void {
        if (this.isEnded && this.held.length === 0 && !this.isHeldBack) {
            this.whole.resolve(this.failure === undefined ? ok() : err(this.failure));
        }
    }
}
