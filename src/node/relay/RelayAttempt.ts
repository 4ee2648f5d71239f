import type { IncomingHttpHeaders } from "node:http";
import type { Dispatcher } from "undici";
import type { RelayCall } from "../../schema/relay/RelayCall.js";
import type { RelayUpstream } from "../../schema/relay/RelayUpstream.js";
import type { ResponseSink } from "../upstream/ResponseSink.js";
import { ThrownUpstreamError } from "../upstream/ThrownUpstreamError.js";
import type { UpstreamConnections } from "../upstream/UpstreamConnections.js";
import { UpstreamExchange } from "../upstream/UpstreamExchange.js";
import type { AttemptResult } from "./AttemptResult.js";
import type { RelayDialect } from "./RelayDialect.js";

/** A larger answer is passed on while it arrives, and can no longer be replaced when its upstream breaks off. */
const maxHeldBytes = 256 * 1024;
const msPerSecond = 1_000;

interface RelayAttemptOptions {
    readonly call: RelayCall;
    readonly upstream: RelayUpstream;
    readonly headers: Record<string, string | string[]>;
    readonly body: Buffer | undefined;
    readonly dialect: RelayDialect;
    readonly connections: UpstreamConnections;
    /** Whether an answer with this head is passed on while it arrives. */
    readonly isStreamed: (status: number, headers: IncomingHttpHeaders) => boolean;
    /** The head of an answer that is passed on. */
    readonly onHead: (status: number, headers: IncomingHttpHeaders) => void;
    /** Bytes of an answer that is passed on; false asks to pause. */
    readonly onBytes: (bytes: Buffer) => boolean;
}

/** One send of a call to one upstream. */
export class RelayAttempt implements ResponseSink {
    private readonly exchange: UpstreamExchange;
    private readonly settled: PromiseWithResolvers<AttemptResult> = Promise.withResolvers();
    private readonly held: Buffer[] = [];
    private heldBytes = 0;
    private mode: "held" | "forwarded" | "not-run" = "held";
    private status = 0;
    private headers: IncomingHttpHeaders = {};
    private isWrongUpstream = false;

    constructor(private readonly options: RelayAttemptOptions) {
        this.exchange = new UpstreamExchange(head => {
            this.readHead(head.status, head.headers);
            return this;
        });
        this.exchange.responseHead.catch((failure: ThrownUpstreamError) => {
            this.onError(failure);
        });
    }

    /** Sends the call and resolves with how that ended; never rejects. */
    run(): Promise<AttemptResult> {
        const { call, upstream, headers, body, connections } = this.options;
        connections.dispatch({
            origin: `http://${upstream.address}`,
            path: call.target,
            method: call.method as Dispatcher.HttpMethod,
            headers,
            body,
        }, this.exchange);
        return this.settled.promise;
    }

    /** The head of an answer has come. */
    get hasResponseHead(): boolean {
        return this.status !== 0;
    }

    resume(): void {
        this.exchange.resume();
    }

    /** Gives the attempt up and closes its connection, at which the upstream stops working. */
    abort(reason: string): void {
        const isSent = this.exchange.isSent;
        this.settled.resolve({ kind: "cancelled", isSent, reason });
        this.exchange.abort(new ThrownUpstreamError("cancelled", undefined, reason));
    }

    onData(bytes: Buffer): void {
        if (this.mode === "forwarded") {
            this.forward(bytes);
            return;
        }
        this.held.push(bytes);
        this.heldBytes += bytes.length;
        if (this.mode === "held" && this.heldBytes > maxHeldBytes) {
            this.startForwarding();
        }
    }

    onEnd(): void {
        if (this.mode === "forwarded") {
            this.settled.resolve({ kind: "forwarded" });
            return;
        }
        if (this.mode === "not-run") {
            const { status, isWrongUpstream } = this;
            this.settled.resolve({ kind: "not-run", status, isWrongUpstream, retryAfterMs: retryAfterMs(this.headers) });
            return;
        }
        this.settled.resolve({ kind: "held", answer: { status: this.status, headers: this.headers, body: Buffer.concat(this.held) } });
    }

    onError(failure: ThrownUpstreamError): void {
        if (this.mode === "not-run") {
            this.onEnd();
            return;
        }
        this.settled.resolve({ kind: failure.kind === "not-sent" ? "not-sent" : "broken", reason: failure.message });
    }

    private readHead(status: number, headers: IncomingHttpHeaders): void {
        this.status = status;
        this.headers = headers;
        const meaning = this.options.dialect.classifyResponse(status, headers, this.options.call);
        if (meaning === "foreign") {
            this.settled.resolve({ kind: "broken", reason: "the upstream sent an answer that is not to this call" });
            this.exchange.abort(new ThrownUpstreamError("broken", status, "answer of another call"));
            return;
        }
        if (meaning !== "answer") {
            this.mode = "not-run";
            this.isWrongUpstream = meaning === "wrong-upstream";
            return;
        }
        if (this.options.isStreamed(status, headers)) {
            this.startForwarding();
        }
    }

    private startForwarding(): void {
        this.mode = "forwarded";
        this.options.onHead(this.status, this.headers);
        for (const bytes of this.held.splice(0)) {
            this.forward(bytes);
        }
    }

    private forward(bytes: Buffer): void {
        if (!this.options.onBytes(bytes)) {
            this.exchange.pause();
        }
    }
}

function retryAfterMs(headers: IncomingHttpHeaders): number | undefined {
    const seconds = Number(headers["retry-after"]);
    return Number.isFinite(seconds) && seconds >= 0 ? seconds * msPerSecond : undefined;
}
