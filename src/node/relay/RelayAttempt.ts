import type { Result } from "neverthrow";
import type { IncomingHttpHeaders } from "node:http";
import type { Dispatcher } from "undici";
import { parseRetryAfterMs } from "../../core/relay/parseRetryAfterMs.js";
import { GrowingBuffer } from "../../core/util/GrowingBuffer.js";
import type { Scheduler } from "../../core/util/Scheduler.js";
import { timerAbortReason } from "../../core/util/timerAbortReason.js";
import type { RelayCall } from "../../schema/relay/RelayCall.js";
import type { RelayUpstream } from "../../schema/relay/RelayUpstream.js";
import { collectReceivedBuffers } from "../caller/collectReceivedBuffers.js";
import type { ResponseSink } from "../upstream/ResponseSink.js";
import { ThrownUpstreamError } from "../upstream/ThrownUpstreamError.js";
import type { UpstreamConnections } from "../upstream/UpstreamConnections.js";
import { UpstreamExchange } from "../upstream/UpstreamExchange.js";
import type { AttemptResult } from "./AttemptResult.js";
import type { RelayDialect } from "./RelayDialect.js";
import { relayLimits } from "./relayLimits.js";

/** A larger response is forwarded while it arrives; when its upstream then fails, a retry can no longer replace it. */
const maxBufferedBytes = 256 * 1024;

interface RelayAttemptOptions {
    readonly call: RelayCall;
    readonly upstream: RelayUpstream;
    readonly headers: Record<string, string | string[]>;
    readonly body: Buffer | undefined;
    readonly dialect: RelayDialect;
    readonly connections: UpstreamConnections;
    readonly scheduler: Scheduler;
    /** Whether a response with this head is a stream of events, which is forwarded from its first event on. */
    readonly isStreamed: (status: number, headers: IncomingHttpHeaders) => boolean;
    /** Receives the head of each response of the upstream to this call; `isAnswer` is false if it says that the call was not run. */
    readonly onOwnHead: (status: number, headers: IncomingHttpHeaders, isAnswer: boolean) => void;
    /** Receives the head of a response that is to be forwarded, or returns why it must not be. */
    readonly onHead: (status: number, headers: IncomingHttpHeaders, isStreamed: boolean) => Result<void, string>;
    /** Receives bytes of a forwarded response; returns false to pause the upstream, or why the response is broken. */
    readonly onBytes: (bytes: Buffer) => Result<boolean, string>;
}

/** One attempt to run a call on one upstream. */
export class RelayAttempt implements ResponseSink {
    private readonly exchange: UpstreamExchange;
    private readonly completion: PromiseWithResolvers<AttemptResult> = Promise.withResolvers();
    private readonly heldBody = new GrowingBuffer();
    private refusalBytes = 0;
    private readonly refusalEnd = new AbortController();
    private mode: "held" | "forwarded" | "not-run" = "held";
    private status = 0;
    private headers: IncomingHttpHeaders = {};
    private isWrongUpstream = false;

    constructor(private readonly options: RelayAttemptOptions) {
        this.exchange = new UpstreamExchange(head => {
            this.processHead(head.status, head.headers, head.isFirstOnConnection);
            return this;
        });
        this.exchange.responseHead.catch((failure: ThrownUpstreamError) => {
            this.onError(failure);
        });
    }

    /** Sends the call and resolves with the result of the attempt; never rejects. */
    run(): Promise<AttemptResult> {
        const { call, upstream, headers, body, connections } = this.options;
        connections.dispatch({
            origin: `http://${upstream.address}`,
            path: call.target,
            method: call.method as Dispatcher.HttpMethod,
            headers,
            body,
        }, this.exchange);
        return this.completion.promise;
    }

    /** Whether the response head has arrived. */
    get hasResponseHead(): boolean {
        return this.status !== 0;
    }

    /** Whether the call may have reached the upstream. */
    get isSent(): boolean {
        return this.exchange.isSent;
    }

    resume(): void {
        this.exchange.resume();
    }

    /** Cancels the attempt and closes its connection, so that the upstream stops working on the call. */
    abort(reason: string): void {
        if (this.mode === "not-run") {
            this.endRefusal(undefined);
        }
        this.completion.resolve({ kind: "cancelled", isSent: this.exchange.isSent, reason });
        this.exchange.abort(new ThrownUpstreamError("cancelled", undefined, reason));
    }

    onData(bytes: Buffer): void {
        collectReceivedBuffers(bytes.length);
        if (this.mode === "forwarded") {
            this.forward(bytes);
            return;
        }
        if (this.mode === "not-run") {
            this.refusalBytes += bytes.length;
            if (this.refusalBytes > relayLimits.refusalBodyBytes) {
                this.stopReadingRefusal(`the upstream sent a refusal larger than ${relayLimits.refusalBodyBytes} bytes`);
            }
            return;
        }
        this.heldBody.append(bytes);
        if (this.heldBody.length > maxBufferedBytes) {
            this.startForwarding(false);
        }
    }

    onEnd(): void {
        if (this.mode === "forwarded") {
            this.completion.resolve({ kind: "forwarded" });
            return;
        }
        if (this.mode === "not-run") {
            this.endRefusal(undefined);
            return;
        }
        this.completion.resolve({
            kind: "held",
            answer: { status: this.status, headers: this.headers, body: this.heldBody.bytes },
        });
    }

    onError(failure: ThrownUpstreamError): void {
        if (this.mode === "not-run") {
            this.endRefusal(failure.message);
            return;
        }
        this.completion.resolve({ kind: failure.kind === "not-sent" ? "not-sent" : "broken", reason: failure.message });
    }

    private processHead(status: number, headers: IncomingHttpHeaders, isFirstOnConnection: boolean): void {
        this.status = status;
        this.headers = headers;
        const responseKind = this.options.dialect.classifyResponse(status, headers, this.options.call, isFirstOnConnection);
        if (responseKind === "foreign") {
            this.fail("the upstream sent a response that does not belong to this call");
            return;
        }
        if (responseKind !== "wrong-upstream") {
            this.options.onOwnHead(status, headers, responseKind === "answer");
        }
        if (responseKind !== "answer") {
            this.mode = "not-run";
            this.isWrongUpstream = responseKind === "wrong-upstream";
            this.options.scheduler.after(relayLimits.refusalBodyTimeoutMs, () => {
                this.stopReadingRefusal(`the upstream did not end its refusal within ${relayLimits.refusalBodyTimeoutMs} ms`);
            }, this.refusalEnd.signal);
            return;
        }
        if (this.options.isStreamed(status, headers)) {
            this.startForwarding(true);
        }
    }

    private startForwarding(isStreamed: boolean): void {
        this.mode = "forwarded";
        const accepted = this.options.onHead(this.status, this.headers, isStreamed);
        if (accepted.isErr()) {
            this.fail(accepted.error);
            return;
        }
        const heldBytes = this.heldBody.bytes;
        this.heldBody.clear();
        if (heldBytes.length > 0) {
            this.forward(heldBytes);
        }
    }

    private endRefusal(bodyFailure: string | undefined): void {
        this.refusalEnd.abort(timerAbortReason);
        const { status, isWrongUpstream } = this;
        const retryAfterMs = parseRetryAfterMs(this.headers["retry-after"]).unwrapOr(undefined);
        this.completion.resolve({ kind: "not-run", status, isWrongUpstream, retryAfterMs, bodyFailure });
    }

    private stopReadingRefusal(reason: string): void {
        this.endRefusal(reason);
        this.exchange.abort(new ThrownUpstreamError("broken", this.status, reason));
    }

    /** Ends the attempt because of what its upstream sent, and closes its connection. */
    private fail(reason: string): void {
        this.completion.resolve({ kind: "broken", reason });
        this.exchange.abort(new ThrownUpstreamError("broken", this.status, reason));
    }

    private forward(bytes: Buffer): void {
        const isWritable = this.options.onBytes(bytes);
        if (isWritable.isErr()) {
            this.fail(isWritable.error);
        }
        else if (!isWritable.value) {
            this.exchange.pause();
        }
    }
}
