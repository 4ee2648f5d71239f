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

/** The one answer that the caller of a relayed call gets, whichever attempts its parts come from. Notes in `summary` what it was. */
export class CallerResponse {
    /** Cuts streams into whole events, each of which the caller gets once. */
    readonly framer: EventFramer;
    /** Time between the last two events that were passed on. */
    lastEventGapMs = 0;
    private lastEventMs = 0;

    constructor(
        private readonly parts: Pick<RelayDependencies, "scheduler" | "dialect">,
        private readonly request: RelayRequest,
        private readonly summary: CallSummary,
    ) {
        this.framer = new EventFramer(request.call.lastEventId);
    }

    /** The head of the answer has been sent. */
    get hasSentHead(): boolean {
        return this.request.outgoing.headersSent;
    }

    /** Sends the head of the first attempt that is passed on; those of later attempts are left out. */
    sendHead(status: number, headers: IncomingHttpHeaders): void {
        if (this.hasSentHead || this.request.outgoing.destroyed) {
            return;
        }
        this.summary.status = status;
        const kept = selectForwardedHeaders(headers);
        if (isEventStream(headers)) {
            delete kept["content-length"];
        }
        this.request.outgoing.writeHead(status, kept);
    }

    /** Passes on what is whole with these bytes: false when the caller takes no more for now, undefined when nothing was whole. */
    forward(bytes: Buffer): boolean | undefined {
        if (this.request.outgoing.destroyed) {
            return undefined;
        }
        const events = this.framer.push(bytes);
        if (events.length === 0) {
            return undefined;
        }
        this.noteEvents();
        return this.request.outgoing.write(events);
    }

    /** Ends an answer that was passed on. */
    end(): void {
        this.request.outgoing.end();
        this.summary.isComplete = true;
    }

    /** Sends a held answer whole. */
    sendBuffered({ status, headers, body }: BufferedResponse): void {
        const { outgoing, call, arrivedMs } = this.request;
        const kept = selectForwardedHeaders(headers);
        if (call.method !== "HEAD") {
            kept["content-length"] = String(body.length);
        }
        this.summary.status = status;
        this.summary.firstTokenMs = this.parts.scheduler.nowMs() - arrivedMs;
        if (!outgoing.destroyed) {
            outgoing.writeHead(status, kept);
            outgoing.end(body);
        }
        this.summary.isComplete = true;
    }

    refuse(refusal: RelayRefusal): void {
        const { outgoing, call } = this.request;
        this.summary.status = refusal.status;
        this.summary.errorCode = refusal.reason;
        sendRefusal(outgoing, refusal, call.requestId, this.parts.dialect);
    }

    /** Breaks the answer off in a way that does not look complete. */
    abort(reason: string): void {
        this.summary.errorCode = "cut";
        log("answer broken off", { requestId: this.request.call.requestId, reason, lastEventId: this.framer.lastEventId });
        this.request.outgoing.destroy();
    }

    private noteEvents(): void {
        const { summary } = this;
        const nowMs = this.parts.scheduler.nowMs();
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
