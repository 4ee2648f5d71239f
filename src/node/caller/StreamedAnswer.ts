import type { ServerResponse } from "node:http";
import type { Scheduler } from "../../core/util/Scheduler.js";
import type { AnswerSink } from "./AnswerSink.js";
import type { CallerFault } from "./CallerFault.js";
import { faultBody } from "./faultBody.js";
import { sendFault } from "./sendFault.js";
import { waitForDrain } from "./waitForDrain.js";

/** Passes server-sent events on to the caller as the engine wrote them. */
export class StreamedAnswer implements AnswerSink {
    constructor(
        private readonly response: ServerResponse,
        private readonly requestId: string,
        private readonly scheduler: Scheduler,
        private readonly stallLimitMs: number,
    ) {}

    write(events: Buffer): Promise<void> | undefined {
        if (!this.response.headersSent) {
            this.writeHead();
        }
        if (this.response.write(events)) {
            return undefined;
        }
        return waitForDrain(this.response, this.scheduler, this.stallLimitMs);
    }

    restart(): boolean {
        return !this.response.headersSent;
    }

    finish(): void {
        this.response.end();
    }

    /** Before the first event an ordinary error is sent; after it, an error event that OpenAI clients raise. */
    fail(fault: CallerFault): void {
        if (!this.response.headersSent) {
            sendFault(this.response, fault, this.requestId, false);
            return;
        }
        this.response.end(`event: error\ndata: ${faultBody(fault, this.requestId)}\n\n`);
    }

    private writeHead(): void {
        this.response.writeHead(200, {
            "content-type": "text/event-stream; charset=utf-8",
            "cache-control": "no-cache",
            "x-request-id": this.requestId,
            "x-orioleshelf-outcome": "ran",
        });
    }
}
