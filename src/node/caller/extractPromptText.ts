import type { CompletionRequest } from "./CompletionRequest.js";

/** The prompt as one text, for estimates and prefix hashes. */
export function extractPromptText(request: CompletionRequest): string {
    if (request.messages !== undefined) {
        return request.messages.map(message => textOf(message["content"])).join("\n");
    }
    return typeof request.prompt === "string" ? request.prompt : (request.prompt ?? []).join("\n");
}

function textOf(content: unknown): string {
    return typeof content === "string" ? content : JSON.stringify(content ?? "");
}
