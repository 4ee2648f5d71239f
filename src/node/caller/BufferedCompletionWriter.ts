import type { ServerResponse } from "node:http";
import { parseServerSentEvents } from "../upstream/parseServerSentEvents.js";
import type { CallerError } from "./CallerError.js";
import { CompletionChunk } from "./CompletionChunk.js";
import type { CompletionWriter } from "./CompletionWriter.js";
import { sendCallerError } from "./sendCallerError.js";

type ToolCall = NonNullable<NonNullable<CompletionChunk["choices"][number]["delta"]>["tool_calls"]>[number];

/** Assembles one JSON response from streamed completion events, for callers that did not ask for a stream. */
export class BufferedCompletionWriter implements CompletionWriter {
    private textParts: string[] = [];
    private toolCalls = new Map<number, ToolCall>();
    private refusal = "";
    private commonFields: Record<string, unknown> = {};
    private finishReason: string | undefined;
    private usage: unknown;

    constructor(private readonly response: ServerResponse, private readonly requestId: string, private readonly isChat: boolean) {}

    write(events: Buffer): Promise<void> | undefined {
        for (const value of parseServerSentEvents(events)) {
            const event = CompletionChunk.safeParse(value);
            if (event.success) {
                this.add(event.data);
            }
        }
        return undefined;
    }

    tryReset(): boolean {
        this.textParts = [];
        this.toolCalls = new Map();
        this.refusal = "";
        this.finishReason = undefined;
        return true;
    }

    finish(): void {
        this.response.writeHead(200, {
            "content-type": "application/json",
            "x-request-id": this.requestId,
            "x-orioleshelf-outcome": "ran",
        });
        const object = this.isChat ? "chat.completion" : "text_completion";
        this.response.end(JSON.stringify({ ...this.commonFields, object, choices: [this.buildChoice()], usage: this.usage }));
    }

    fail(error: CallerError): void {
        sendCallerError(this.response, error, this.requestId, false);
    }

    private add(event: CompletionChunk): void {
        const { choices, usage, ...commonFields } = event;
        this.commonFields = { ...commonFields, ...this.commonFields };
        this.usage = usage ?? this.usage;
        const choice = choices[0];
        this.textParts.push(choice?.delta?.content ?? choice?.text ?? "");
        this.refusal += choice?.delta?.refusal ?? "";
        this.finishReason = choice?.finish_reason ?? this.finishReason;
        for (const call of choice?.delta?.tool_calls ?? []) {
            this.addToolCall(call);
        }
    }

    /** The first delta of a tool call names the function; later deltas append to its arguments. */
    private addToolCall(call: ToolCall): void {
        const existing = this.toolCalls.get(call.index);
        if (existing === undefined) {
            this.toolCalls.set(call.index, call);
            return;
        }
        const text = (existing.function?.arguments ?? "") + (call.function?.arguments ?? "");
        this.toolCalls.set(call.index, { ...existing, function: { ...existing.function, arguments: text } });
    }

    private buildChoice(): unknown {
        const text = this.textParts.join("");
        if (!this.isChat) {
            return { index: 0, text, finish_reason: this.finishReason };
        }
        const message: Record<string, unknown> = { role: "assistant", content: text };
        if (this.refusal !== "") {
            message["refusal"] = this.refusal;
        }
        if (this.toolCalls.size > 0) {
            message["tool_calls"] = [...this.toolCalls.values()];
        }
        return { index: 0, message, finish_reason: this.finishReason };
    }
}
