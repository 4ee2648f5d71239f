import type { IncomingHttpHeaders } from "node:http";
import { EventFramer } from "../../core/relay/EventFramer.js";
import type { CallSummary } from "../caller/CallSummary.js";
import { createLogger } from "../logs/createLogger.js";
import { selectForwardedHeaders } from "../upstream/selectForwardedHeaders.js";
import type { BufferedResponse } from "./BufferedResponse.js";
import { isEventStream } from "./isEventStream.js";
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
    private lastEventMs = 0;

    constructor(
        private readonly dependencies: Pick<RelayDependencies, "scheduler" | "dialect">,
        private readonly request: RelayRequest,
        private readonly summary: CallSummary,
    ) {
        this.framer = new EventFramer(request.call.lastEventId);
    }

    /** Whether the response head has been sent. */
    get hasSentHead(): boolean {
        return this.request.outgoing.headersSent;
    }

    /** Sends the head of the first attempt whose response is forwarded; the heads of later attempts are ignored. */
    sendHead(status: number, headers: IncomingHttpHeaders): void {
        if (this.hasSentHead || this.request.outgoing.destroyed) {
            return;
        }
        this.summary.status = status;
        const forwardedHeaders = selectForwardedHeaders(headers);
        if (isEventStream(headers)) {
            delete forwardedHeaders["content-length"];
        }
        this.request.outgoing.writeHead(status, forwardedHeaders);
    }

    /** Forwards the events that these bytes complete. Returns false on backpressure from the caller, undefined when nothing was forwarded. */
    forward(bytes: Buffer): boolean | undefined {
        if (this.request.outgoing.destroyed) {
            return undefined;
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
