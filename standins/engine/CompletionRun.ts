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
    /** Length of the whole answer, the part before the resume offset included. */
    readonly answerTokens: number;
    readonly finishReason: "stop" | "length";
    readonly faults: FaultSwitch;
    readonly record: CallRecord;
}

/**
 * One running completion. Each server-sent event carries in its `id` field how many tokens of the whole answer have been
 * sent with it, so that a client can resume after any event.
 */
export class CompletionRun implements BatchRequest {
    readonly priority: number;
    readonly prefillTokens: number;
    /** The reader is too slow: nothing is produced until it has caught up. */
    isBlocked = false;
    private sentTokens: number;
    private text = "";
    private isRoleSent = false;
    private readonly eventStart: string;
    private readonly eventEnd: string;

    constructor(private readonly options: CompletionRunOptions, private readonly response: ServerResponse) {
        this.priority = options.body.priority;
        this.prefillTokens = Math.max(0, options.promptTokens - options.cachedTokens);
        this.sentTokens = options.body.resume_from_token;
        const choice = options.isChat ? '"delta":{"content":' : '"text":';
        this.eventStart = `${JSON.stringify(this.head()).slice(0, -1)},"choices":[{"index":0,${choice}`;
        this.eventEnd = options.isChat ? '},"finish_reason":null}]}\n\n' : ',"finish_reason":null}]}\n\n';
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
        this.options.faults.strike("crash-mid-stream");
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
        this.isBlocked = !this.response.write(`id: ${this.sentTokens}\ndata: ${this.eventStart}${JSON.stringify(token)}${this.eventEnd}`);
    }

    /** Tells the role and what the prefix cache saved. */
    private writeFirstEvent(): void {
        const choice = this.options.isChat ? '"delta":{"role":"assistant","content":""}' : '"text":""';
        const head = JSON.stringify({ ...this.head(), cached_prompt_tokens: this.options.cachedTokens }).slice(0, -1);
        const event = `${head},"choices":[{"index":0,${choice},"finish_reason":null}]}`;
        this.response.write(`id: ${this.sentTokens - 1}\ndata: ${event}\n\n`);
    }

    private finish(): void {
        this.options.record.state = "done";
        if (this.options.faults.strike("lose-answer") !== undefined) {
            this.response.socket?.resetAndDestroy();
            return;
        }
        if (!this.options.body.stream) {
            this.sendWhole();
            return;
        }
        const choice = this.options.isChat
            ? { index: 0, delta: {}, finish_reason: this.options.finishReason }
            : { index: 0, text: "", finish_reason: this.options.finishReason };
        this.writeEvent({ ...this.head(), choices: [choice] }, this.sentTokens);
        if (this.options.body.stream_options?.include_usage === true) {
            this.writeEvent({ ...this.head(), choices: [], usage: this.usage() }, this.sentTokens);
        }
        this.response.end("data: [DONE]\n\n");
    }

    private sendWhole(): void {
        const choice = this.options.isChat
            ? { index: 0, message: { role: "assistant", content: this.text }, finish_reason: this.options.finishReason }
            : { index: 0, text: this.text, finish_reason: this.options.finishReason };
        const object = this.options.isChat ? "chat.completion" : "text_completion";
        this.response.setHeader("content-type", "application/json");
        this.response.end(JSON.stringify({ ...this.head(), object, choices: [choice], usage: this.usage() }));
    }

    private writeEvent(value: unknown, tokens: number): void {
        this.response.write(`id: ${tokens}\ndata: ${JSON.stringify(value)}\n\n`);
    }

    private head(): { id: string; object: string; created: number; model: string; } {
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
