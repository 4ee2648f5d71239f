import type { ServerResponse } from "node:http";
import type { CallRecord } from "../shared/CallRecord.js";
import type { FaultSwitch } from "../shared/FaultSwitch.js";
import { answerToken } from "./answerToken.js";
import type { BatchRequest } from "./BatchRequest.js";
import type { CompletionBody } from "./CompletionBody.js";

interface CompletionRunOptions {
    readonly id: string;
    readonly isChat: boolean;
    readonly body: CompletionBody;
    readonly promptHash: number;
    readonly promptTokens: number;
    readonly cachedTokens: number;
    /** Length of the complete answer, including the part before the resume offset. */
    readonly answerTokens: number;
    readonly eventPaddingBytes: number;
    readonly finishReason: "stop" | "length";
    readonly faults: FaultSwitch;
    readonly record: CallRecord;
}

/**
 * A running completion. The `id` field of each server-sent event is the number of tokens of the complete answer that have been
 * sent up to and including that event, so that a client can resume after any event.
 */
export class CompletionRun implements BatchRequest {
    readonly priority: number;
    readonly prefillTokens: number;
    /** Whether generation is paused by backpressure, until the write buffer of the response has drained. */
    isBlocked = false;
    private sentTokens: number;
    private text = "";
    private isRoleSent = false;
    private readonly eventPrefix: string;
    private readonly eventSuffix: string;

    constructor(private readonly options: CompletionRunOptions, private readonly response: ServerResponse) {
        this.priority = options.body.priority;
        this.prefillTokens = Math.max(0, options.promptTokens - options.cachedTokens);
        this.sentTokens = options.body.resume_from_token;
        const choice = options.isChat ? '"delta":{"content":' : '"text":';
        this.eventPrefix = `${JSON.stringify(this.commonFields()).slice(0, -1)},"choices":[{"index":0,${choice}`;
        const padding = options.eventPaddingBytes === 0 ? "" : `,"padding":"${"x".repeat(options.eventPaddingBytes)}"`;
        this.eventSuffix = `${options.isChat ? "}" : ""},"finish_reason":null}]${padding}}\n\n`;
        response.on("drain", () => {
            this.isBlocked = false;
        });
    }

    step(): "running" | "finished" {
        if (this.isBlocked || this.isSilent()) {
            return "running";
        }
        if (this.isCrashing()) {
            this.response.socket?.resetAndDestroy();
            return "finished";
        }
        if (this.sentTokens < this.options.answerTokens) {
            this.emitToken();
        }
        if (this.sentTokens >= this.options.answerTokens) {
            this.finish();
            return "finished";
        }
        return "running";
    }

    private isSilent(): boolean {
        const fault = this.options.faults.peek("silent");
        return fault !== undefined && this.sentTokens >= fault.afterTokens;
    }

    private isCrashing(): boolean {
        const fault = this.options.faults.peek("crash-mid-stream");
        if (fault === undefined || this.sentTokens - this.options.body.resume_from_token < fault.afterTokens) {
            return false;
        }
        this.options.faults.consume("crash-mid-stream");
        return true;
    }

    private emitToken(): void {
        const token = answerToken(this.options.promptHash, this.sentTokens);
        this.sentTokens++;
        this.options.record.tokens++;
        if (!this.options.body.stream) {
            this.text += token;
            return;
        }
        if (!this.isRoleSent) {
            this.isRoleSent = true;
            this.writeFirstEvent();
        }
        this.isBlocked = !this.response.write(
            `id: ${this.sentTokens}\ndata: ${this.eventPrefix}${JSON.stringify(token)}${this.eventSuffix}`,
        );
    }

    /** Sends the role and the number of prompt tokens found in the prefix cache. */
    private writeFirstEvent(): void {
        const choice = this.options.isChat ? '"delta":{"role":"assistant","content":""}' : '"text":""';
        const head = JSON.stringify({ ...this.commonFields(), cached_prompt_tokens: this.options.cachedTokens }).slice(0, -1);
        const event = `${head},"choices":[{"index":0,${choice},"finish_reason":null}]}`;
        this.response.write(`id: ${this.sentTokens - 1}\ndata: ${event}\n\n`);
    }

    private finish(): void {
        this.options.record.state = "done";
        if (this.options.faults.consume("lose-answer") !== undefined) {
            this.response.socket?.resetAndDestroy();
            return;
        }
        if (!this.options.body.stream) {
            this.sendFullResponse();
            return;
        }
        const choice = this.options.isChat
            ? { index: 0, delta: {}, finish_reason: this.options.finishReason }
            : { index: 0, text: "", finish_reason: this.options.finishReason };
        this.writeEvent({ ...this.commonFields(), choices: [choice] }, this.sentTokens);
        if (this.options.body.stream_options?.include_usage === true) {
            this.writeEvent({ ...this.commonFields(), choices: [], usage: this.usage() }, this.sentTokens);
        }
        this.response.end("data: [DONE]\n\n");
    }

    private sendFullResponse(): void {
        const choice = this.options.isChat
            ? { index: 0, message: { role: "assistant", content: this.text }, finish_reason: this.options.finishReason }
            : { index: 0, text: this.text, finish_reason: this.options.finishReason };
        const object = this.options.isChat ? "chat.completion" : "text_completion";
        this.response.setHeader("content-type", "application/json");
        this.response.end(JSON.stringify({ ...this.commonFields(), object, choices: [choice], usage: this.usage() }));
    }

    private writeEvent(value: unknown, tokens: number): void {
        this.response.write(`id: ${tokens}\ndata: ${JSON.stringify(value)}\n\n`);
    }

    private commonFields(): { id: string; object: string; created: number; model: string; } {
        const object = this.options.isChat ? "chat.completion.chunk" : "text_completion";
        return { id: this.options.id, object, created: 1, model: this.options.body.model };
    }

    private usage(): Record<string, unknown> {
        return {
            prompt_tokens: this.options.promptTokens,
            completion_tokens: this.sentTokens,
            total_tokens: this.options.promptTokens + this.sentTokens,
            prompt_tokens_details: { cached_tokens: this.options.cachedTokens },
        };
    }
}
