import { randomUUID } from "node:crypto";
import { type Dispatcher, request } from "undici";
import type { Arrival } from "./Arrival.js";
import type { LoadSample } from "./LoadSample.js";
import { TokenStreamReader } from "./TokenStreamReader.js";

const firstErrorStatus = 400;
/** Repeated to build prompts; about one token long. */
const promptWord = "pump ";
/** Length of a non-streamed body after which further chunks are discarded; enough to find its error code. */
const maxKeptBodyCharacters = 4_096;

interface SendOptions {
    readonly callerUrl: string;
    readonly customerKey: string;
    /** Undici dispatcher, which holds the connections of the run. */
    readonly dispatcher: Dispatcher;
    readonly timeoutMs: number;
    readonly signal: AbortSignal;
    /** Returns the time since the start of the run. */
    readonly nowMs: () => number;
}

/** Sends one request and reads its answer to the end. Never rejects: a failure is reported in the sample. */
export async function sendLoadRequest(arrival: Arrival, options: SendOptions): Promise<LoadSample> {
    const { stream, dueMs } = arrival;
    const reader = new TokenStreamReader();
    const sample = { stream: stream.name, serviceClass: stream.serviceClass, dueMs };
    try {
        const signal = AbortSignal.any([options.signal, AbortSignal.timeout(options.timeoutMs)]);
        const response = await request(createUrl(arrival, options.callerUrl), {
            method: stream.kind === "chat" ? "POST" : stream.method,
            headers: createHeaders(arrival, options.customerKey),
            body: createBody(arrival),
            dispatcher: options.dispatcher,
            signal,
            headersTimeout: 0,
            bodyTimeout: 0,
        });
        const headersAtMs = options.nowMs();
        const bodyText = await readAnswer(
            response.body,
            reader,
            options.nowMs,
            stream.kind === "chat" && response.statusCode < firstErrorStatus,
        );
        const isStreamed = stream.kind === "chat";
        // A call has no tokens; its response headers count as the first output.
        const firstOutputAtMs = isStreamed ? reader.firstTokenAtMs : headersAtMs;
        const isSuccessful = response.statusCode < firstErrorStatus && reader.errorCode === undefined;
        return {
            ...sample,
            status: response.statusCode,
            outcome: getFirstHeaderValue(response.headers["x-orioleshelf-outcome"]),
            errorCode: reader.errorCode ?? findErrorCode(response.statusCode, bodyText),
            isComplete: isSuccessful && (!isStreamed || reader.hasEnded),
            firstTokenMs: isSuccessful && firstOutputAtMs !== undefined ? firstOutputAtMs - dueMs : undefined,
            meanTokenGapMs: reader.meanGapMs,
            maxTokenGapMs: reader.tokens > 1 ? reader.maxGapMs : undefined,
            totalMs: options.nowMs() - dueMs,
            tokens: reader.tokens,
            requestId: getFirstHeaderValue(response.headers["x-request-id"]),
        };
    }
    catch (error) {
        const errorCode = (error as NodeJS.ErrnoException).code ?? (error as Error).name;
        return { ...sample, status: 0, errorCode, isComplete: false, totalMs: options.nowMs() - dueMs, tokens: reader.tokens };
    }
}

function createUrl({ stream }: Arrival, callerUrl: string): string {
    const path = stream.kind === "chat" ? "/v1/chat/completions" : `/services/${encodeURIComponent(stream.service)}${stream.path}`;
    return new URL(path, callerUrl).href;
}

function createHeaders({ stream }: Arrival, customerKey: string): Record<string, string> {
    const headers: Record<string, string> = { authorization: `Bearer ${customerKey}`, "x-orioleshelf-class": stream.serviceClass };
    if (stream.kind === "chat" || stream.body !== undefined) {
        headers["content-type"] = "application/json";
    }
    if (stream.kind === "call" && stream.isKeyed) {
        headers["idempotency-key"] = randomUUID();
    }
    return headers;
}

function createBody({ stream, promptTokens, answerTokens }: Arrival): string | undefined {
    if (stream.kind === "call") {
        return stream.body;
    }
    const messages = [{ role: "user", content: promptWord.repeat(promptTokens) }];
    return JSON.stringify({ model: stream.model, messages, max_tokens: answerTokens, stream: true });
}

/** Feeds a streamed answer to `reader`; returns the text of an answer that is not streamed. */
async function readAnswer(
    body: AsyncIterable<Uint8Array>,
    reader: TokenStreamReader,
    nowMs: () => number,
    isStreamed: boolean,
): Promise<string> {
    const decoder = new TextDecoder();
    let bodyText = "";
    for await (const chunk of body) {
        const text = decoder.decode(chunk, { stream: true });
        if (isStreamed) {
            reader.add(text, nowMs());
        }
        else if (bodyText.length < maxKeptBodyCharacters) {
            bodyText += text;
        }
    }
    return bodyText;
}

function findErrorCode(status: number, body: string): string | undefined {
    if (status < firstErrorStatus) {
        return undefined;
    }
    return /"code"\s*:\s*"([^"]+)"/.exec(body)?.[1] ?? `http_${status}`;
}

function getFirstHeaderValue(value: string | string[] | undefined): string | undefined {
    return Array.isArray(value) ? value[0] : value;
}
