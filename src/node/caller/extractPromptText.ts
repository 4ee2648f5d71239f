import type { CompletionRequest } from "./CompletionRequest.js";

/** Returns the prompt as one string, for token estimates and prefix hashes. */
export function extractPromptText(request: CompletionRequest): string {
    if (request.messages !== undefined) {
        return request.messages.map(message => extractContentText(message["content"])).join("\n");
    }
    return typeof request.prompt === "string" ? request.prompt : (request.prompt ?? []).join("\n");
}

function extractContentText(content: unknown): string {
    return typeof content === "string" ? content : JSON.stringify(content ?? "");
}
