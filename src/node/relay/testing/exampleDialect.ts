import { err, ok } from "neverthrow";
import type { PromptMetadata } from "../../../schema/relay/PromptMetadata.js";
import type { RelayDialect } from "../RelayDialect.js";

/** Decodes ids of prompt parts that are separated by commas. */
function decodePrompt(value: string | string[] | undefined): PromptMetadata | undefined {
    return typeof value === "string"
        ? { model: "m", promptTokens: 100, maxOutputTokens: 10, parts: value.split(",").map(id => ({ id, tokens: 10 })) }
        : undefined;
}

/** Dialect for tests with header names that belong to no real platform. */
export const exampleDialect: RelayDialect = {
    decodeCall: ({ headers, url = "/", method = "GET" }) => {
        const requestId = headers["call-id"];
        return typeof requestId === "string" && requestId !== ""
            ? ok({
                requestId,
                method,
                host: headers.host ?? "",
                path: url.split("?")[0] ?? "",
                target: url,
                key: "key-1",
                patienceMs: Number(headers["patience"] ?? 5_000),
                lastEventId: typeof headers["last-event-id"] === "string" ? headers["last-event-id"] : undefined,
                prompt: decodePrompt(headers["prompt-parts"]),
            })
            : err("call-id is missing");
    },
    buildUpstreamHeaders: (call, received, context) => ({
        host: received.host ?? "",
        "call-id": call.requestId,
        ...(context.lastEventId === undefined ? {} : { "last-event-id": context.lastEventId }),
    }),
    isLeaving: headers => headers["leaving"] !== undefined,
    buildRetryAfterHeaders: delayMs => ({ "retry-after": String(delayMs / 1_000) }),
    classifyResponse: (status, headers, call, isFirstOnConnection) => {
        const isRefusal = headers["not-run"] !== undefined && status >= 400;
        const isOwn = headers["call-id"] === undefined ? isRefusal && isFirstOnConnection : headers["call-id"] === call.requestId;
        return isOwn ? isRefusal ? "not-run" : "answer" : "foreign";
    },
};
