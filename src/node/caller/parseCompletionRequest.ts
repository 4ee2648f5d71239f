import { err, ok, type Result } from "neverthrow";
import { isUtf8 } from "node:buffer";
import { CallerError } from "./CallerError.js";
import { CompletionRequest } from "./CompletionRequest.js";

const maxNamedFields = 5;

/** Parses the body of a completion request. */
export function parseCompletionRequest(body: Buffer, isChat: boolean): Result<CompletionRequest, CallerError> {
    if (!isUtf8(body)) {
        return err(badRequest("the body is not UTF-8 text; encode it as UTF-8"));
    }
    const value = parseJson(body);
    if (value === undefined) {
        return err(badRequest("the body is not JSON; send a JSON object"));
    }
    const parsed = CompletionRequest.safeParse(value);
    if (!parsed.success) {
        const fields = parsed.error.issues.slice(0, maxNamedFields).map(issue => `${issue.path.join(".") || "body"}: ${issue.message}`);
        return err(badRequest(`the request has faults: ${fields.join("; ")}`));
    }
    const hasPrompt = isChat ? parsed.data.messages !== undefined : parsed.data.prompt !== undefined;
    return hasPrompt
        ? ok(parsed.data)
        : err(badRequest(isChat ? "messages is missing; send at least one" : "prompt is missing; send a text"));
}

function badRequest(message: string): CallerError {
    return new CallerError({ status: 400, code: "invalid_request", outcome: "not-run" }, message);
}

function parseJson(body: Buffer): unknown {
    try {
        return JSON.parse(body.toString("utf8"));
    }
    catch {
        return undefined;
    }
}
