import { err, ok, type Result } from "neverthrow";
import { choosePool } from "../../core/paths/choosePool.js";
import { hashPromptPrefixes } from "../../core/paths/hashPromptPrefixes.js";
import { admitRetry } from "../../core/retry/admitRetry.js";
import type { Pool } from "../../schema/config/Pool.js";
import type { GrantEnd } from "../../schema/peer/GrantEnd.js";
import type { EngineRequest } from "../services/EngineRequest.js";
import type { EngineStream } from "../services/EngineStream.js";
import type { Grant } from "../services/Grant.js";
import type { UpstreamError } from "../services/UpstreamError.js";
import { CompletionTextBuffer } from "../upstream/CompletionTextBuffer.js";
import { admitCall } from "./admitCall.js";
import type { CallDependencies } from "./CallDependencies.js";
import { CallerError } from "./CallerError.js";
import type { CallerRequest } from "./CallerRequest.js";
import type { CallSummary } from "./CallSummary.js";
import type { CompletionRequest } from "./CompletionRequest.js";
import type { CompletionWriter } from "./CompletionWriter.js";
import { extractPromptText } from "./extractPromptText.js";
import { GrantSource } from "./GrantSource.js";
import { mapDispatchRefusal } from "./mapDispatchRefusal.js";
import { mapUpstreamError } from "./mapUpstreamError.js";
import { recordDecision } from "./recordDecision.js";
import { TokenTimes } from "./TokenTimes.js";

/** Average for estimating the tokens of a prompt. */
const charactersPerToken = 4;
/** Queue timeout for a request whose output has already started, in place of the timeout of its class. */
const continuationQueueMs = 600_000;

interface CompletionCallOptions {
    readonly endpoint: EngineRequest["endpoint"];
    readonly body: CompletionRequest;
    readonly writer: CompletionWriter;
}

type AttemptEnd =
    | { readonly kind: "whole"; }
    | { readonly kind: "preempted"; }
    | { readonly kind: "caller-gone"; }
    | { readonly kind: "failed"; readonly error: UpstreamError; };

/** One completion request: acquires grants, makes attempts and joins their output into one response without duplicate tokens. */
export class CompletionCall {
    private readonly promptTokens: number;
    private readonly prefixHashes: number[];
    private readonly maxOutputTokens: number;
    private readonly grants: GrantSource;
    private readonly times = new TokenTimes();
    private deliveredText: CompletionTextBuffer;
    private mayHaveRun = false;

    constructor(
        private readonly dependencies: CallDependencies,
        private readonly request: CallerRequest,
        private readonly options: CompletionCallOptions,
        private readonly summary: CallSummary,
    ) {
        this.grants = new GrantSource(dependencies, request, summary);
        const prompt = extractPromptText(options.body);
        this.promptTokens = Math.ceil(prompt.length / charactersPerToken);
        this.prefixHashes = hashPromptPrefixes(prompt);
        this.maxOutputTokens = options.body.max_completion_tokens ?? options.body.max_tokens ?? request.serviceClass.defaultMaxOutputTokens;
        this.deliveredText = this.createTextBuffer();
        summary.service = options.body.model;
    }

    /** Serves the call. Resolves once the response or an error has been handed to the writer. */
    async run(): Promise<void> {
        const admitted = await admitCall(this.dependencies, this.request, this.promptTokens + this.maxOutputTokens);
        if (admitted.isErr()) {
            this.fail(admitted.error);
            return;
        }
        const served = await this.serve();
        this.recordTimes();
        admitted.value.end(this.promptTokens + this.times.tokens);
        if (served.isErr()) {
            this.fail(served.error);
            return;
        }
        this.options.writer.finish();
        this.summary.status = 200;
        this.summary.outcome = "ran";
        this.summary.isComplete = true;
    }

    private async serve(): Promise<Result<void, CallerError>> {
        const pool = choosePool(this.request.view, {
            kind: "engine",
            service: this.options.body.model,
            serviceClass: this.request.serviceClass.name,
            customer: this.request.customer.name,
            key: this.getPathKey(),
        });
        if (pool === undefined) {
            return err(
                new CallerError({ status: 404, code: "model_not_found", outcome: "not-run" }, "no pool serves this model; see /v1/models"),
            );
        }
        this.summary.path = pool.path;
        recordDecision(this.dependencies, this.request, "path", { path: pool.path, pool: pool.name });
        this.dependencies.retryBudget.recordFirstAttempt();
        return this.serveFromPool(pool);
    }

    private async serveFromPool(pool: Pool): Promise<Result<void, CallerError>> {
        for (;;) {
            const grant = await this.acquire(pool);
            if (grant.isErr()) {
                return err(grant.error);
            }
            const end = await this.attempt(grant.value);
            if (end.kind === "whole") {
                return ok();
            }
            if (end.kind === "caller-gone") {
                return err(createDisconnectError(this.mayHaveRun));
            }
            if (end.kind === "failed" && !this.tryRetry(end.error, grant.value, pool)) {
                return err(mapUpstreamError(end.error, this.mayHaveRun));
            }
        }
    }

    private async acquire(pool: Pool): Promise<Result<Grant, CallerError>> {
        const hasStarted = this.times.tokens > 0;
        const grant = await this.grants.acquire({
            pool,
            service: this.options.body.model,
            promptTokens: this.promptTokens + this.times.tokens,
            maxOutputTokens: Math.max(1, this.maxOutputTokens - this.times.tokens),
            prefixHashes: this.prefixHashes,
            waitedMs: hasStarted ? 0 : this.dependencies.scheduler.nowMs() - this.request.arrivedMs,
            maxQueueMs: hasStarted ? continuationQueueMs : this.request.serviceClass.maxQueueMs,
            isResumed: hasStarted,
        }, this.request.disconnectSignal);
        return grant.mapErr(refusal =>
            this.request.disconnectSignal.aborted
                ? createDisconnectError(this.mayHaveRun)
                : this.correctOutcome(mapDispatchRefusal(refusal))
        );
    }

    /** A dispatcher's refusal always says `not-run`, which does not hold if an earlier attempt may have run. */
    private correctOutcome(error: CallerError): CallerError {
        if (!this.mayHaveRun) {
            return error;
        }
        const { status, code, retryAfterMs, message } = error;
        return new CallerError({ status, code, retryAfterMs, outcome: "unknown" }, message);
    }

    private async attempt(grant: Grant): Promise<AttemptEnd> {
        const sentMs = this.dependencies.scheduler.nowMs();
        const attemptTimes = new TokenTimes();
        recordDecision(this.dependencies, this.request, "sent", { upstream: grant.upstream.id, fromToken: this.times.tokens });
        const signal = AbortSignal.any([this.request.disconnectSignal, grant.preemptionSignal]);
        const opened = await this.dependencies.engines.open(grant.upstream, this.createEngineRequest(grant), signal);
        const end = opened.isOk()
            ? await this.relay(opened.value, grant, sentMs, attemptTimes)
            : this.resolveFailedAttempt(opened.error, grant);
        this.mayHaveRun ||= opened.isOk() || mayHaveDoneWork(opened.error);
        this.grants.reportResult(grant, end.kind === "failed" ? end.error : mapEndToUpstreamError(end.kind));
        grant.end(createGrantEnd(end, attemptTimes, sentMs));
        return end;
    }

    private async relay(stream: EngineStream, grant: Grant, sentMs: number, attemptTimes: TokenTimes): Promise<AttemptEnd> {
        const { scheduler } = this.dependencies;
        const relayed = await stream.relay((events, tokenCount) => {
            if (tokenCount > 0) {
                const nowMs = scheduler.nowMs();
                if (this.times.tokens === 0) {
                    this.recordFirstToken(grant, nowMs);
                }
                attemptTimes.add(nowMs, tokenCount);
                this.times.add(nowMs, tokenCount);
                this.deliveredText.append(events);
                grant.reportProgress(attemptTimes.tokens, (attemptTimes.firstTokenAtMs ?? nowMs) - sentMs);
            }
            return this.options.writer.write(events);
        });
        this.summary.wastedTokens += stream.receivedTokens - this.times.tokens;
        return relayed.isOk() ? { kind: "whole" } : this.resolveFailedAttempt(relayed.error, grant);
    }

    private resolveFailedAttempt(error: UpstreamError, grant: Grant): AttemptEnd {
        if (this.request.disconnectSignal.aborted) {
            return { kind: "caller-gone" };
        }
        if (error.kind === "cancelled" && grant.preemptionSignal.aborted) {
            if (grant.preemptionSignal.reason === "slow-upstream") {
                this.grants.excludeUpstream(grant);
            }
            recordDecision(this.dependencies, this.request, "preempted", { upstream: grant.upstream.id, tokens: this.times.tokens });
            return { kind: "preempted" };
        }
        return { kind: "failed", error };
    }

    /** Decides whether a failed attempt is followed by another. Excludes the failed upstream from it. */
    private tryRetry(error: UpstreamError, grant: Grant, pool: Pool): boolean {
        this.grants.excludeUpstream(grant);
        if (isResumeRefusal(error) && this.times.tokens > 0 && !this.tryRestart()) {
            return false;
        }
        const candidate = {
            failure: { mayHaveRun: mayHaveDoneWork(error), isClientError: error.kind === "refused" && isClientErrorStatus(error.status) },
            isRepeatable: pool.repeatable,
            attempts: this.summary.attempts,
            maxAttempts: this.dependencies.callerLimits.maxAttempts,
        };
        const isRetryAdmitted = admitRetry(candidate, this.dependencies.retryBudget);
        if (isRetryAdmitted) {
            const kind = this.times.tokens > 0 ? "continued" : "retried";
            recordDecision(this.dependencies, this.request, kind, {
                after: error.kind,
                upstream: grant.upstream.id,
                fromToken: this.times.tokens,
            });
        }
        return isRetryAdmitted;
    }

    /** Restarts the response after an engine refused to resume it. Only possible while the caller has received none of it. */
    private tryRestart(): boolean {
        if (!this.options.writer.tryReset()) {
            return false;
        }
        this.summary.wastedTokens += this.times.tokens;
        this.times.resetCount();
        this.deliveredText = this.createTextBuffer();
        return true;
    }

    private createTextBuffer(): CompletionTextBuffer {
        return new CompletionTextBuffer(this.options.endpoint === "/v1/chat/completions");
    }

    private createEngineRequest(grant: Grant): EngineRequest {
        return {
            requestId: this.request.requestId,
            body: this.createEngineBody(),
            endpoint: this.options.endpoint,
            priority: grant.priority,
            resumeFromToken: this.times.tokens,
            resumePrefix: this.times.tokens === 0 ? "" : this.deliveredText.toString(),
        };
    }

    /** Requests usage for a non-streaming caller: its response is assembled from a stream, which has no usage by default. */
    private createEngineBody(): Readonly<Record<string, unknown>> {
        const { body } = this.options;
        return body.stream === true ? body : { ...body, stream_options: { include_usage: true } };
    }

    private recordFirstToken(grant: Grant, nowMs: number): void {
        recordDecision(this.dependencies, this.request, "first-token", {
            upstream: grant.upstream.id,
            afterMs: Math.round(nowMs - this.request.arrivedMs),
        });
    }

    private recordTimes(): void {
        const { firstTokenAtMs, maxGapMs, meanGapMs, tokens } = this.times;
        this.summary.firstTokenMs = firstTokenAtMs === undefined ? undefined : firstTokenAtMs - this.request.arrivedMs;
        this.summary.maxTokenGapMs = maxGapMs;
        this.summary.meanTokenGapMs = meanGapMs;
        this.summary.tokens = tokens;
    }

    private getPathKey(): string {
        const key = this.request.incoming.headers["idempotency-key"];
        return typeof key === "string" ? key : this.request.requestId;
    }

    private fail(error: CallerError): void {
        this.summary.status = error.status;
        this.summary.outcome = error.outcome;
        this.summary.errorCode = error.code;
        this.options.writer.fail(error);
    }
}

/** Whether the engine may have done work. The other kinds of error guarantee that it did none. */
function mayHaveDoneWork(error: UpstreamError): boolean {
    return error.kind === "broken" || error.kind === "silent" || error.kind === "cancelled";
}

/** A cancelled stream says nothing about the health of its engine, so it is reported to the circuit breaker as cancelled. */
function mapEndToUpstreamError(kind: AttemptEnd["kind"]): UpstreamError | undefined {
    return kind === "whole" ? undefined : { kind: "cancelled", status: undefined, message: "the stream was cancelled" };
}

/** The engine client fails as `refused` without a status when the engine did not resume at the requested token. */
function isResumeRefusal(error: UpstreamError): boolean {
    return error.kind === "refused" && error.status === undefined;
}

function isClientErrorStatus(status: number | undefined): boolean {
    return status !== undefined && status >= 400 && status < 500;
}

function createDisconnectError(mayHaveRun: boolean): CallerError {
    return new CallerError(
        { status: 499, code: "caller_gone", outcome: mayHaveRun ? "unknown" : "not-run" },
        "the caller closed its connection",
    );
}

function createGrantEnd(end: AttemptEnd, times: TokenTimes, sentMs: number): GrantEnd {
    const results = { "whole": "completed", "preempted": "cancelled", "caller-gone": "cancelled", "failed": "failed" } as const;
    return {
        result: results[end.kind],
        outputTokens: times.tokens,
        firstTokenMs: times.firstTokenAtMs === undefined ? undefined : times.firstTokenAtMs - sentMs,
        maxTokenGapMs: times.maxGapMs,
        meanTokenGapMs: times.meanGapMs,
    };
}
