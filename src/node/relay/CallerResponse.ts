import type { IncomingHttpHeaders } from "node:http";
import { EventFramer } from "../../core/relay/EventFramer.js";
import type { CallSummary } from "../caller/CallSummary.js";
import { createLogger } from "../logs/createLogger.js";
import { selectForwardedHeaders } from "../upstream/selectForwardedHeaders.js";
import type { BufferedResponse } from "./BufferedResponse.js";
import type { RelayDependencies } from "./RelayDependencies.js";
import type { RelayRefusal } from "./RelayRefusal.js";
import type { RelayRequest } from "./RelayRequest.js";
import { sendRefusal } from "./sendRefusal.js";

const log = createLogger("relay");

/**
 * The single response that the caller of a relayed call receives, whichever attempts its parts come from. Records its status, timing and error
 * code in `summary`.
 */
export class CallerResponse {
    /** Splits the upstreams' streams into complete events and drops those that the caller has already received. */
    readonly framer: EventFramer;
    /** Time between the last two writes of events to the caller. */
    lastEventGapMs = 0;
    /** Whether the forwarded response is a stream of events, which another upstream can resume; otherwise its bytes are forwarded unchanged. */
    isStreamed = false;
    private lastEventMs = 0;

    constructor(
        private readonly dependencies: Pick<RelayDependencies, "scheduler" | "dialect">,
        private readonly request: RelayRequest,
        private readonly summary: CallSummary,
    ) {
        // A route that may not be resumed answers each call with a stream of its own, whatever id the caller sends.
        this.framer = new EventFramer(request.route.isResumable ? request.call.lastEventId : undefined);
    }

    /** Whether the response head has been sent. */
    get hasSentHead(): boolean {
        return this.request.outgoing.headersSent;
    }

    /** Whether the caller can receive the response of another attempt: it has received nothing, or a stream that can be resumed. */
    get canContinue(): boolean {
        return !this.hasSentHead || this.isStreamed;
    }

    /** Whether a response can follow what the caller has received; `isStreamed` is whether it is a stream of events. */
    canFollow(isStreamed: boolean): boolean {
        return !this.hasSentHead || this.isStreamed && isStreamed;
    }

    /**
     * Sends the head of the first attempt whose response is forwarded. The heads of later attempts are not sent; returns false when their
     * response is no continuation of the first one.
     */
    sendHead(status: number, headers: IncomingHttpHeaders, isStreamed: boolean): boolean {
        if (this.hasSentHead) {
            return this.canFollow(isStreamed);
        }
        this.isStreamed = isStreamed;
        if (this.request.outgoing.destroyed) {
            return true;
        }
        this.summary.status = status;
        const forwardedHeaders = selectForwardedHeaders(headers);
        if (isStreamed) {
            delete forwardedHeaders["content-length"];
        }
        this.request.outgoing.writeHead(status, forwardedHeaders);
        return true;
    }

    /** Forwards these bytes, or the events of a stream that they complete. Returns false on backpressure from the caller, undefined when nothing was forwarded. */
    forward(bytes: Buffer): boolean | undefined {
        if (this.request.outgoing.destroyed) {
            return undefined;
        }
        if (!this.isStreamed) {
            this.summary.firstTokenMs ??= this.dependencies.scheduler.nowMs() - this.request.arrivedMs;
            return this.request.outgoing.write(bytes);
        }
        const events = this.framer.push(bytes);
        if (events.length === 0) {
            return undefined;
        }
        this.recordEvents();
        return this.request.outgoing.write(events);
    }

    /** Ends a forwarded response. */
    end(): void {
        this.request.outgoing.end();
        this.summary.isComplete = true;
    }

    /** Sends a buffered response. */
    sendBuffered({ status, headers, body }: BufferedResponse): void {
        const { outgoing, call, arrivedMs } = this.request;
        const forwardedHeaders = selectForwardedHeaders(headers);
        if (call.method !== "HEAD") {
            forwardedHeaders["content-length"] = String(body.length);
        }
        this.summary.status = status;
        this.summary.firstTokenMs = this.dependencies.scheduler.nowMs() - arrivedMs;
        if (!outgoing.destroyed) {
            outgoing.writeHead(status, forwardedHeaders);
            outgoing.end(body);
        }
        this.summary.isComplete = true;
    }

    refuse(refusal: RelayRefusal): void {
        const { outgoing, call } = this.request;
        this.summary.status = refusal.status;
        this.summary.errorCode = refusal.reason;
        sendRefusal(outgoing, refusal, call.requestId, this.dependencies.dialect);
    }

    /** Closes the connection in the middle of the response, so that the caller does not take it for complete. */
    abort(reason: string): void {
        this.summary.errorCode = "cut";
        log("response aborted; caller's connection closed", {
            requestId: this.request.call.requestId,
            reason,
            lastEventId: this.framer.lastEventId,
        });
        this.request.outgoing.destroy();
    }

    private recordEvents(): void {
        const { summary } = this;
        const nowMs = this.dependencies.scheduler.nowMs();
        this.lastEventGapMs = nowMs - this.lastEventMs;
        if (summary.firstTokenMs === undefined) {
            summary.firstTokenMs = nowMs - this.request.arrivedMs;
        }
        else {
            summary.maxTokenGapMs = Math.max(summary.maxTokenGapMs ?? 0, this.lastEventGapMs);
        }
        this.lastEventMs = nowMs;
    }
}
