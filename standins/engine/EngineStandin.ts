import type { IncomingMessage, ServerResponse } from "node:http";
import { EngineOrder } from "../../src/schema/orders/EngineOrder.js";
import type { CallRecord } from "../shared/CallRecord.js";
import { delay } from "../shared/delay.js";
import { headerText } from "../shared/headerText.js";
import { readBody } from "../shared/readBody.js";
import { sendJson } from "../shared/sendJson.js";
import { StandinServer } from "../shared/StandinServer.js";
import { BatchLoop } from "./BatchLoop.js";
import { CompletionBody } from "./CompletionBody.js";
import { CompletionRun } from "./CompletionRun.js";
import { defaultEngineOptions } from "./defaultEngineOptions.js";
import { EngineOrders } from "./EngineOrders.js";
import type { EngineStandinOptions } from "./EngineStandinOptions.js";
import { PrefixCache } from "./PrefixCache.js";
import { promptHash } from "./promptHash.js";
import { promptOf } from "./promptOf.js";

const charactersPerToken = 4;
const loadSamplePeriodMs = 50;
/** Tells the caller that a rejected request was not executed. */
const notRunHeaders = { "x-orioleshelf-outcome": "not-run" };

interface LoadSample {
    readonly takenAtMs: number;
    readonly running: number;
    readonly waiting: number;
}

interface RunningCall {
    readonly run: CompletionRun;
    readonly response: ServerResponse;
}

/** A model engine on loopback: OpenAI completions over HTTP with protocol extensions, continuous batching and fault injection. */
export class EngineStandin {
    readonly orders: EngineOrders;
    private readonly options: EngineStandinOptions;
    private readonly server: StandinServer;
    private readonly batch: BatchLoop;
    private readonly cache: PrefixCache;
    private readonly runs = new Map<string, RunningCall>();
    private loadSamples: LoadSample[] = [];
    private nextId = 0;

    constructor(options: Partial<EngineStandinOptions> = {}) {
        this.options = { ...defaultEngineOptions, ...options };
        this.server = new StandinServer((request, response) => this.route(request, response));
        this.orders = new EngineOrders(this.options.models, this.options.checksFencing, this.options.loadMs);
        this.batch = new BatchLoop(this.options.maxBatchSize, (size, prefillTokens) => this.stepMs(size, prefillTokens));
        this.cache = new PrefixCache({
            capacityTokens: this.options.cacheCapacityTokens,
            eventDelayMs: this.options.cacheEventDelayMs,
            lossPeriod: this.options.cacheEventLossPeriod,
        });
    }

    /** Listens until `signal` aborts; resolves with the base URL. */
    start(signal: AbortSignal, port = 0): Promise<string> {
        const timer = setInterval(() => {
            this.sampleLoad();
        }, loadSamplePeriodMs);
        signal.addEventListener("abort", () => {
            clearInterval(timer);
        }, { once: true });
        return this.server.start(signal, port);
    }

    /** Completion requests that this engine executed. */
    get calls(): readonly CallRecord[] {
        return this.server.calls.list();
    }

    /** Number of runs that are paused by backpressure because the client reads too slowly. */
    get blockedRuns(): number {
        return [...this.runs.values()].filter(({ run }) => run.isBlocked).length;
    }

    /** Active faults, for tests in the same process. */
    get faults(): StandinServer["faults"] {
        return this.server.faults;
    }

    private async route(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const url = new URL(request.url ?? "/", "http://engine");
        switch (`${request.method} ${url.pathname}`) {
            case "POST /v1/chat/completions":
            case "POST /v1/completions":
                await this.complete(request, response, url.pathname);
                return;
            case "GET /v1/models":
                sendJson(response, 200, {
                    object: "list",
                    data: this.orders.report.models.map(({ model }) => ({ id: model, object: "model" })),
                });
                return;
            case "POST /v1/cancel":
                await this.cancel(request, response);
                return;
            case "GET /v1/load":
                sendJson(response, 200, this.delayedLoad());
                return;
            case "GET /v1/cache-events":
                sendJson(response, 200, this.cache.eventsAfter(Number(url.searchParams.get("after") ?? "0")));
                return;
            case "GET /orders/state":
                sendJson(response, 200, this.orders.report);
                return;
            case "POST /orders":
                await this.handleOrder(request, response);
                return;
            default:
                sendJson(response, 404, { error: { message: `${url.pathname} is not served here`, type: "invalid_request_error" } });
        }
    }

    private async complete(request: IncomingMessage, response: ServerResponse, path: string): Promise<void> {
        const parsed = CompletionBody.safeParse(parseJson(await readBody(request)));
        const slow = this.faults.consume("slow");
        if (slow !== undefined) {
            await delay(slow.delayMs);
        }
        if (this.faults.consume("refuse") !== undefined) {
            sendJson(response, 503, { error: { message: "engine refuses work", type: "overloaded" } }, notRunHeaders);
            return;
        }
        if (this.faults.peek("leaving") !== undefined) {
            sendJson(response, 503, { error: { message: "engine is leaving", type: "leaving" } }, notRunHeaders);
            return;
        }
        if (!parsed.success) {
            sendJson(response, 400, { error: { message: parsed.error.message, type: "invalid_request_error" } }, notRunHeaders);
            return;
        }
        if (!this.orders.serves(parsed.data.model)) {
            sendJson(response, 404, { error: { message: "model is not loaded", type: "invalid_request_error" } }, notRunHeaders);
            return;
        }
        this.run(request, response, path, parsed.data);
    }

    private run(request: IncomingMessage, response: ServerResponse, path: string, body: CompletionBody): void {
        const requestId = headerText(request, "x-request-id") ?? `engine-${this.nextId++}`;
        const prompt = promptOf(body);
        const limit = body.max_completion_tokens ?? body.max_tokens ?? Infinity;
        const record = this.server.calls.add({
            idempotencyKey: headerText(request, "idempotency-key"),
            requestId,
            method: "POST",
            path,
        });
        const run = new CompletionRun({
            id: `chatcmpl-${requestId}`,
            isChat: path === "/v1/chat/completions",
            body: this.options.canResume ? body : { ...body, resume_from_token: 0 },
            promptHash: promptHash(prompt, this.options.seed),
            promptTokens: Math.ceil(prompt.length / charactersPerToken),
            cachedTokens: this.cache.use(prompt),
            answerTokens: Math.min(limit, this.options.naturalAnswerTokens),
            eventPaddingBytes: this.options.eventPaddingBytes,
            finishReason: limit < this.options.naturalAnswerTokens ? "length" : "stop",
            faults: this.faults,
            record,
        }, response);
        const runKey = `${requestId}#${this.nextId++}`;
        this.runs.set(runKey, { run, response });
        response.on("close", () => {
            this.runs.delete(runKey);
            this.batch.remove(run);
            record.endedMs = Date.now();
            if (record.state === "running") {
                record.state = "cancelled";
            }
        });
        if (body.stream) {
            response.writeHead(200, {
                "content-type": "text/event-stream",
                "cache-control": "no-cache",
                ...(this.options.canResume ? { "x-resumed-from": String(body.resume_from_token) } : {}),
            });
            response.flushHeaders();
        }
        this.batch.add(run);
    }

    /** Cancels by request ID, for a caller whose connection may be dead without the engine having noticed. */
    private async cancel(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const body = parseJson(await readBody(request)) as { request_id?: unknown; } | undefined;
        let cancelled = 0;
        for (const [key, { response: open }] of this.runs) {
            if (key.startsWith(`${String(body?.request_id)}#`)) {
                open.destroy();
                cancelled++;
            }
        }
        sendJson(response, 200, { cancelled });
    }

    private async handleOrder(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const parsed = EngineOrder.safeParse(parseJson(await readBody(request)));
        if (!parsed.success) {
            sendJson(response, 400, { error: { message: parsed.error.message } });
            return;
        }
        const lateFault = this.faults.consume("land-late");
        if (lateFault !== undefined) {
            request.socket.destroy();
            await delay(lateFault.delayMs);
        }
        const outcome = this.orders.apply(parsed.data);
        if (this.faults.consume("lose-answer") !== undefined) {
            request.socket.destroy();
            return;
        }
        sendJson(response, outcome === "obeyed" ? 200 : 409, { outcome });
    }

    private stepMs(batchSize: number, prefillTokens: number): number {
        const factor = this.faults.peek("slow-tokens")?.factor ?? 1;
        const batchMs = this.options.stepMs + this.options.stepMsPerRequest * Math.max(0, batchSize - 1);
        return factor * (batchMs + this.options.prefillMsPerToken * prefillTokens);
    }

    private sampleLoad(): void {
        const takenAtMs = performance.now();
        this.loadSamples.push({ takenAtMs, running: this.batch.runningCount, waiting: this.batch.waitingCount });
        const oldestMs = takenAtMs - 2 * this.options.loadReportDelayMs - 2 * loadSamplePeriodMs;
        this.loadSamples = this.loadSamples.filter(report => report.takenAtMs >= oldestMs);
    }

    private delayedLoad(): { running: number; waiting: number; } {
        const untilMs = performance.now() - this.options.loadReportDelayMs;
        const report = this.loadSamples.findLast(candidate => candidate.takenAtMs <= untilMs);
        return { running: report?.running ?? 0, waiting: report?.waiting ?? 0 };
    }
}

function parseJson(body: Buffer): unknown {
    try {
        return JSON.parse(body.toString("utf8"));
    }
    catch {
        return undefined;
    }
}
