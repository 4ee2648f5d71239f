import { err, ok, type Result } from "neverthrow";
import { isUtf8 } from "node:buffer";
import { CallerError } from "./CallerError.js";
import { CompletionRequest } from "./CompletionRequest.js";

const maxReportedIssues = 5;

/** Parses the body of a completion request and checks that it has messages (chat) or a prompt. */
export function parseCompletionRequest(body: Buffer, isChat: boolean): Result<CompletionRequest, CallerError> {
    if (!isUtf8(body)) {
        return err(createInvalidRequestError("request body is not valid UTF-8; encode it as UTF-8"));
    }
    const value = parseJson(body);
    if (value === undefined) {
        return err(createInvalidRequestError("request body is not valid JSON; send a JSON object"));
    }
    const parsed = CompletionRequest.safeParse(value);
    if (!parsed.success) {
        const issueTexts = parsed.error.issues.slice(0, maxReportedIssues).map(issue =>
            `${issue.path.join(".") || "body"}: ${issue.message}`
        );
        return err(createInvalidRequestError(`request body is invalid: ${issueTexts.join("; ")}`));
    }
    const hasPrompt = isChat ? parsed.data.messages !== undefined : parsed.data.prompt !== undefined;
    return hasPrompt
        ? ok(parsed.data)
        : err(createInvalidRequestError(isChat ? "messages is missing; send at least one message" : "prompt is missing; send a string"));
}

function createInvalidRequestError(message: string): CallerError {
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
