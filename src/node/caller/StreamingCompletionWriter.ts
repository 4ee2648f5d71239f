import type { ServerResponse } from "node:http";
import type { Scheduler } from "../../core/util/Scheduler.js";
import type { CallerError } from "./CallerError.js";
import type { CompletionWriter } from "./CompletionWriter.js";
import { formatErrorBody } from "./formatErrorBody.js";
import { sendCallerError } from "./sendCallerError.js";
import { waitUntilWritable } from "./waitUntilWritable.js";

/** Forwards server-sent events to the caller byte for byte as the engine wrote them. */
export class StreamingCompletionWriter implements CompletionWriter {
    constructor(
        private readonly response: ServerResponse,
        private readonly requestId: string,
        private readonly scheduler: Scheduler,
        private readonly stallTimeoutMs: number,
    ) {}

    write(events: Buffer): Promise<void> | undefined {
        if (!this.response.headersSent) {
            this.writeHead();
        }
        if (this.response.write(events)) {
            return undefined;
        }
        return waitUntilWritable(this.response, this.scheduler, this.stallTimeoutMs);
    }

    tryReset(): boolean {
        return !this.response.headersSent;
    }

    finish(): void {
        this.response.end();
    }

    /** Sends an ordinary error response before the first event, and afterwards an error event, which OpenAI clients raise as an exception. */
    fail(error: CallerError): void {
        if (!this.response.headersSent) {
            sendCallerError(this.response, error, this.requestId, false);
            return;
        }
        this.response.end(`event: error\ndata: ${formatErrorBody(error, this.requestId)}\n\n`);
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
