import type { IncomingHttpHeaders } from "node:http";
import type { Dispatcher } from "undici";
import type { ConnectionState } from "./ConnectionState.js";
import type { ResponseSink } from "./ResponseSink.js";
import { ThrownUpstreamError } from "./ThrownUpstreamError.js";

interface ResponseHead {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
}

/**
 * One request on one upstream connection. It knows whether any byte may have reached the upstream: undici calls
 * `onRequestStart` just before it writes, and never when connecting fails.
 */
export class UpstreamExchange implements Dispatcher.DispatchHandler {
    /** The request may have reached the upstream. */
    isSent = false;
    /** The connection that this exchange runs on. */
    connection: ConnectionState | undefined;
    /** Called once, when nothing more will happen on this exchange. */
    onFinished: () => void = () => undefined;
    private controller: Dispatcher.DispatchController | undefined;
    private sink: ResponseSink | undefined;
    private abortFailure: ThrownUpstreamError | undefined;
    private isFinished = false;
    private readonly head: PromiseWithResolvers<ResponseHead> = Promise.withResolvers();

    /** `onHead` gives the sink for the body; it runs before the first byte of the body arrives. */
    constructor(private readonly onHead: (head: ResponseHead) => ResponseSink) {
        this.head.promise.catch(() => undefined);
    }

    /** Settles with the head of the answer, or rejects with an `EngineFailure`. */
    get responseHead(): Promise<ResponseHead> {
        return this.head.promise;
    }

    pause(): void {
        this.controller?.pause();
    }

    resume(): void {
        this.controller?.resume();
    }

    /** Closes the connection; `failure` is what the reader is told. */
    abort(failure: ThrownUpstreamError): void {
        if (this.isFinished || this.abortFailure !== undefined) {
            return;
        }
        this.abortFailure = failure;
        this.controller?.abort(failure);
        this.settle(this.isSent ? failure : asNotSent(failure));
    }

    onRequestStart(controller: Dispatcher.DispatchController): void {
        this.controller = controller;
        if (this.abortFailure !== undefined) {
            controller.abort(this.abortFailure);
            return;
        }
        this.isSent = true;
    }

    onResponseStart(controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders): void {
        if (status < 200) {
            return;
        }
        this.controller = controller;
        this.sink = this.onHead({ status, headers });
        this.head.resolve({ status, headers });
    }

    onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
        if (!controller.aborted) {
            this.sink?.onData(chunk);
        }
    }

    onResponseEnd(): void {
        if (this.connection?.hasFailed === true) {
            this.settle(
                new ThrownUpstreamError("broken", undefined, "connection to the upstream was reset inside an answer without a length"),
            );
            return;
        }
        this.isFinished = true;
        this.sink?.onEnd();
        this.onFinished();
    }

    onResponseError(controller: Dispatcher.DispatchController | undefined, error: Error): void {
        this.controller = controller;
        this.settle(this.abortFailure ?? this.failureOf(error));
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

    private failureOf(error: Error): ThrownUpstreamError {
        const code = (error as NodeJS.ErrnoException).code ?? error.name;
        if (this.isSent) {
            return new ThrownUpstreamError(
                "broken",
                undefined,
                `connection to the upstream broke (${code}); see whether the upstream is up`,
            );
        }
        return new ThrownUpstreamError(
            "not-sent",
            undefined,
            `upstream could not be reached (${code}); check its URL and whether it listens`,
        );
    }
}

function asNotSent(failure: ThrownUpstreamError): ThrownUpstreamError {
    return failure.kind === "cancelled" ? failure : new ThrownUpstreamError("not-sent", undefined, failure.message);
}
