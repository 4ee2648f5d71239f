import type { CompletionBody } from "./CompletionBody.js";

/** The prompt of a request as one string. */
export function promptOf(body: CompletionBody): string {
    if (body.messages !== undefined) {
        return body.messages.map(message => textOf(message.content)).join("\n");
    }
    return typeof body.prompt === "string" ? body.prompt : (body.prompt ?? []).join("\n");
}

function textOf(content: unknown): string {
    return typeof content === "string" ? content : JSON.stringify(content);
}
