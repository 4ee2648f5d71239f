import type { ServerResponse } from "node:http";
import { parseServerSentEvents } from "../upstream/parseServerSentEvents.js";
import type { CallerError } from "./CallerError.js";
import { CompletionChunk } from "./CompletionChunk.js";
import type { CompletionWriter } from "./CompletionWriter.js";
import { sendCallerError } from "./sendCallerError.js";

type ToolCall = NonNullable<NonNullable<CompletionChunk["choices"][number]["delta"]>["tool_calls"]>[number];

/** Puts a whole answer together out of streamed events. */
export class BufferedCompletionWriter implements CompletionWriter {
    private texts: string[] = [];
    private toolCalls = new Map<number, ToolCall>();
    private refusal = "";
    private head: Record<string, unknown> = {};
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
        this.texts = [];
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
        this.response.end(JSON.stringify({ ...this.head, object, choices: [this.choice()], usage: this.usage }));
    }

    fail(fault: CallerError): void {
        sendCallerError(this.response, fault, this.requestId, false);
    }

    private add(event: CompletionChunk): void {
        const { choices, usage, ...head } = event;
        this.head = { ...head, ...this.head };
        this.usage = usage ?? this.usage;
        const choice = choices[0];
        this.texts.push(choice?.delta?.content ?? choice?.text ?? "");
        this.refusal += choice?.delta?.refusal ?? "";
        this.finishReason = choice?.finish_reason ?? this.finishReason;
        for (const call of choice?.delta?.tool_calls ?? []) {
            this.addToolCall(call);
        }
    }

    /** The first piece of a tool call names the function; the later ones carry more of its arguments. */
    private addToolCall(call: ToolCall): void {
        const known = this.toolCalls.get(call.index);
        if (known === undefined) {
            this.toolCalls.set(call.index, call);
            return;
        }
        const text = (known.function?.arguments ?? "") + (call.function?.arguments ?? "");
        this.toolCalls.set(call.index, { ...known, function: { ...known.function, arguments: text } });
    }

    private choice(): unknown {
        const text = this.texts.join("");
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
