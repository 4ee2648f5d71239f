import { randomUUID } from "node:crypto";
import { type Dispatcher, request } from "undici";
import type { Arrival } from "./Arrival.js";
import type { LoadSample } from "./LoadSample.js";
import { TokenStreamReader } from "./TokenStreamReader.js";

const firstErrorStatus = 400;
/** The text of prompts, about one token. */
const word = "pump ";
/** As much of an answer that is no stream as an error needs. */
const maxKeptCharacters = 4_096;

interface SendOptions {
    readonly callerUrl: string;
    readonly customerKey: string;
    readonly dispatcher: Dispatcher;
    readonly timeoutMs: number;
    readonly signal: AbortSignal;
    /** Time since the start of the run. */
    readonly nowMs: () => number;
}

/** Sends one request and reads its answer to the end. Never fails: what went wrong stands in the sample. */
export async function sendLoadRequest(arrival: Arrival, options: SendOptions): Promise<LoadSample> {
    const { stream, dueMs } = arrival;
    const watch = new TokenStreamReader();
    const sample = { stream: stream.name, serviceClass: stream.serviceClass, dueMs };
    try {
        const signal = AbortSignal.any([options.signal, AbortSignal.timeout(options.timeoutMs)]);
        const response = await request(urlOf(arrival, options.callerUrl), {
            method: stream.kind === "chat" ? "POST" : stream.method,
            headers: headersOf(arrival, options.customerKey),
            body: bodyOf(arrival),
            dispatcher: options.dispatcher,
            signal,
            headersTimeout: 0,
            bodyTimeout: 0,
        });
        const headMs = options.nowMs();
        const whole = await readAnswer(
            response.body,
            watch,
            options.nowMs,
            stream.kind === "chat" && response.statusCode < firstErrorStatus,
        );
        const isStreamed = stream.kind === "chat";
        const firstAtMs = isStreamed ? watch.firstTokenAtMs : headMs;
        const isGood = response.statusCode < firstErrorStatus && watch.errorCode === undefined;
        return {
            ...sample,
            status: response.statusCode,
            outcome: headerOf(response.headers["x-orioleshelf-outcome"]),
            errorCode: watch.errorCode ?? errorCodeOf(response.statusCode, whole),
            isComplete: isGood && (!isStreamed || watch.hasEnded),
            firstTokenMs: isGood && firstAtMs !== undefined ? firstAtMs - dueMs : undefined,
            meanTokenGapMs: watch.meanGapMs,
            maxTokenGapMs: watch.tokens > 1 ? watch.maxGapMs : undefined,
            totalMs: options.nowMs() - dueMs,
            tokens: watch.tokens,
            requestId: headerOf(response.headers["x-request-id"]),
        };
    }
    catch (error) {
        const errorCode = (error as NodeJS.ErrnoException).code ?? (error as Error).name;
        return { ...sample, status: 0, errorCode, isComplete: false, totalMs: options.nowMs() - dueMs, tokens: watch.tokens };
    }
}

function urlOf({ stream }: Arrival, callerUrl: string): string {
    const path = stream.kind === "chat" ? "/v1/chat/completions" : `/services/${encodeURIComponent(stream.service)}${stream.path}`;
    return new URL(path, callerUrl).href;
}

function headersOf({ stream }: Arrival, customerKey: string): Record<string, string> {
    const headers: Record<string, string> = { authorization: `Bearer ${customerKey}`, "x-orioleshelf-class": stream.serviceClass };
    if (stream.kind === "chat" || stream.body !== undefined) {
        headers["content-type"] = "application/json";
    }
    if (stream.kind === "call" && stream.isKeyed) {
        headers["idempotency-key"] = randomUUID();
    }
    return headers;
}

function bodyOf({ stream, promptTokens, answerTokens }: Arrival): string | undefined {
    if (stream.kind === "call") {
        return stream.body;
    }
    const messages = [{ role: "user", content: word.repeat(promptTokens) }];
    return JSON.stringify({ model: stream.model, messages, max_tokens: answerTokens, stream: true });
}

/** Reads tokens as they come, or the text of an answer that is not streamed. */
async function readAnswer(
    body: AsyncIterable<Uint8Array>,
    watch: TokenStreamReader,
    nowMs: () => number,
    isStreamed: boolean,
): Promise<string> {
    const decoder = new TextDecoder();
    let whole = "";
    for await (const chunk of body) {
        const text = decoder.decode(chunk, { stream: true });
        if (isStreamed) {
            watch.add(text, nowMs());
        }
        else if (whole.length < maxKeptCharacters) {
            whole += text;
        }
    }
    return whole;
}

function errorCodeOf(status: number, body: string): string | undefined {
    if (status < firstErrorStatus) {
        return undefined;
    }
    return /"code"\s*:\s*"([^"]+)"/.exec(body)?.[1] ?? `http_${status}`;
}

function headerOf(value: string | string[] | undefined): string | undefined {
    return Array.isArray(value) ? value[0] : value;
}
