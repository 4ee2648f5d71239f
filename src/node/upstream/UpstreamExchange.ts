import type { IncomingHttpHeaders } from "node:http";
import type { Dispatcher } from "undici";
import type { ConnectionState } from "./ConnectionState.js";
import type { ResponseSink } from "./ResponseSink.js";
import { ThrownUpstreamError } from "./ThrownUpstreamError.js";

const firstErrorStatus = 400;

interface ResponseHead {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    /** No other response has arrived on this connection before. */
    readonly isFirstOnConnection: boolean;
}

/**
 * One request on one upstream connection. It tracks whether any byte may have reached the upstream: undici calls
 * `onRequestStart` just before it writes the request, and never when connecting fails.
 */
export class UpstreamExchange implements Dispatcher.DispatchHandler {
    /** The request may have reached the upstream. */
    isSent = false;
    /** Returns the present connection of the client. Until the request is written, another one can replace it. */
    getConnection: () => ConnectionState | undefined = () => undefined;
    /** Called once, when the exchange has completed or failed. */
    onFinished: () => void = () => undefined;
    /** The connection on which the request was written. */
    private connection: ConnectionState | undefined;
    private controller: Dispatcher.DispatchController | undefined;
    private sink: ResponseSink | undefined;
    private abortFailure: ThrownUpstreamError | undefined;
    private isFinished = false;
    private status = 0;
    private readonly head: PromiseWithResolvers<ResponseHead> = Promise.withResolvers();

    /** `onHead` returns the sink for the body; it is called before the first byte of the body arrives. */
    constructor(private readonly onHead: (head: ResponseHead) => ResponseSink) {
        this.head.promise.catch(() => undefined);
    }

    /** Resolves with the response head, or rejects with a `ThrownUpstreamError`. */
    get responseHead(): Promise<ResponseHead> {
        return this.head.promise;
    }

    pause(): void {
        this.controller?.pause();
    }

    resume(): void {
        this.controller?.resume();
    }

    /**
     * Resets the connection and fails the response with `failure`. After an orderly close the system would still send the rest of the request, and
     * after a network partition all of it, to an upstream that might run a call that has been given up.
     */
    abort(failure: ThrownUpstreamError): void {
        if (this.isFinished || this.abortFailure !== undefined) {
            return;
        }
        this.abortFailure = failure;
        if (this.isSent) {
            this.connection?.resetOnClose();
        }
        this.controller?.abort(failure);
        this.settle(this.isSent ? failure : toNotSentFailure(failure));
    }

    onRequestStart(controller: Dispatcher.DispatchController): void {
        this.controller = controller;
        if (this.abortFailure !== undefined) {
            controller.abort(this.abortFailure);
            return;
        }
        this.isSent = true;
        this.connection = this.getConnection();
        this.connection?.framingLimiter.startRequest();
    }

    onResponseStart(controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders): void {
        if (status < 200) {
            return;
        }
        this.controller = controller;
        this.status = status;
        const head = { status, headers, isFirstOnConnection: this.connection?.hasResponded === false };
        if (this.connection !== undefined) {
            this.connection.hasResponded = true;
        }
        this.sink = this.onHead(head);
        this.head.resolve(head);
    }

    onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
        this.connection?.framingLimiter.recordData(chunk.length);
        if (!controller.aborted) {
            this.sink?.onData(chunk);
        }
    }

    onResponseEnd(): void {
        // An error response before the end of the upload may well be whole: the upstream rejects the request without reading it.
        const isCutSuccess = this.connection?.hasEndedDuringUpload === true && this.status < firstErrorStatus;
        if (this.connection?.hasFailed === true || isCutSuccess) {
            this.settle(
                new ThrownUpstreamError(
                    "broken",
                    undefined,
                    "connection to the upstream was reset, or closed before it had received the request, during a response without a length",
                ),
            );
            return;
        }
        this.isFinished = true;
        this.sink?.onEnd();
        this.onFinished();
    }

    onResponseError(controller: Dispatcher.DispatchController | undefined, error: Error): void {
        this.controller = controller;
        this.settle(this.abortFailure ?? this.toConnectionFailure(error));
    }

    private settle(failure: ThrownUpstreamError): void {
        if (this.isFinished) {
            return;
        }
        this.isFinished = true;
        this.head.reject(failure);
        this.sink?.onError(failure);
        this.onFinished();
    }

    private toConnectionFailure(error: Error): ThrownUpstreamError {
        const code = (error as NodeJS.ErrnoException).code ?? error.name;
        if (this.isSent) {
            return new ThrownUpstreamError(
                "broken",
                undefined,
                `connection to the upstream failed (${code}); check whether the upstream is running`,
            );
        }
        return new ThrownUpstreamError(
            "not-sent",
            undefined,
            `could not connect to the upstream (${code}); check its URL and whether it is listening`,
        );
    }
}

function toNotSentFailure(failure: ThrownUpstreamError): ThrownUpstreamError {
    return failure.kind === "cancelled" ? failure : new ThrownUpstreamError("not-sent", undefined, failure.message);
}
