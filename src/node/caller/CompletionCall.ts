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

const charactersPerToken = 4;
/** A stream that the caller has begun to read waits this long for a slot to go on. */
const continuationQueueMs = 600_000;

interface CompletionWork {
    readonly endpoint: EngineRequest["endpoint"];
    readonly body: CompletionRequest;
    readonly sink: CompletionWriter;
}

type AttemptEnd =
    | { readonly kind: "whole"; }
    | { readonly kind: "preempted"; }
    | { readonly kind: "caller-gone"; }
    | { readonly kind: "failed"; readonly error: UpstreamError; };

/** One completion of a caller: grants, attempts, and the answer put together out of them with each token once. */
export class CompletionCall {
    private readonly promptTokens: number;
    private readonly hashes: number[];
    private readonly maxOutputTokens: number;
    private readonly grants: GrantSource;
    private readonly times = new TokenTimes();
    private deliveredText: CompletionTextBuffer;
    private mayHaveRun = false;

    constructor(
        private readonly parts: CallDependencies,
        private readonly request: CallerRequest,
        private readonly work: CompletionWork,
        private readonly summary: CallSummary,
    ) {
        this.grants = new GrantSource(parts, request, summary);
        const prompt = extractPromptText(work.body);
        this.promptTokens = Math.ceil(prompt.length / charactersPerToken);
        this.hashes = hashPromptPrefixes(prompt);
        this.maxOutputTokens = work.body.max_completion_tokens ?? work.body.max_tokens ?? request.serviceClass.defaultMaxOutputTokens;
        this.deliveredText = this.newText();
        summary.service = work.body.model;
    }

    /** Serves the call to its end; the caller has been answered when it resolves. */
    async run(): Promise<void> {
        const admitted = await admitCall(this.parts, this.request, this.promptTokens + this.maxOutputTokens);
        if (admitted.isErr()) {
            this.fail(admitted.error);
            return;
        }
        const served = await this.serve();
        this.noteTimes();
        admitted.value.end(this.promptTokens + this.times.tokens);
        if (served.isErr()) {
            this.fail(served.error);
            return;
        }
        this.work.sink.finish();
        this.summary.status = 200;
        this.summary.outcome = "ran";
        this.summary.isComplete = true;
    }

    private async serve(): Promise<Result<void, CallerError>> {
        const pool = choosePool(this.request.view, {
            kind: "engine",
            service: this.work.body.model,
            serviceClass: this.request.serviceClass.name,
            customer: this.request.customer.name,
            key: this.pathKey(),
        });
        if (pool === undefined) {
            return err(
                new CallerError({ status: 404, code: "model_not_found", outcome: "not-run" }, "no pool serves this model; see /v1/models"),
            );
        }
        this.summary.path = pool.path;
        recordDecision(this.parts, this.request, "path", { path: pool.path, pool: pool.name });
        this.parts.retryBudget.earn();
        return this.serveFrom(pool);
    }

    private async serveFrom(pool: Pool): Promise<Result<void, CallerError>> {
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
                return err(callerGone(this.mayHaveRun));
            }
            if (end.kind === "failed" && !this.goOnAfter(end.error, grant.value, pool)) {
                return err(mapUpstreamError(end.error, this.mayHaveRun));
            }
        }
    }

    private async acquire(pool: Pool): Promise<Result<Grant, CallerError>> {
        const hasStarted = this.times.tokens > 0;
        const grant = await this.grants.acquire({
            pool,
            service: this.work.body.model,
            promptTokens: this.promptTokens + this.times.tokens,
            maxOutputTokens: Math.max(1, this.maxOutputTokens - this.times.tokens),
            prefixHashes: this.hashes,
            waitedMs: hasStarted ? 0 : this.parts.scheduler.nowMs() - this.request.arrivedMs,
            maxQueueMs: hasStarted ? continuationQueueMs : this.request.serviceClass.maxQueueMs,
            isResumed: hasStarted,
        }, this.request.disconnectSignal);
        return grant.mapErr(refusal =>
            this.request.disconnectSignal.aborted ? callerGone(this.mayHaveRun) : this.withOutcome(mapDispatchRefusal(refusal))
        );
    }

    /** A refusal of the dispatcher says nothing of what earlier attempts did. */
    private withOutcome(fault: CallerError): CallerError {
        if (!this.mayHaveRun) {
            return fault;
        }
        const { status, code, retryAfterMs, message } = fault;
        return new CallerError({ status, code, retryAfterMs, outcome: "unknown" }, message);
    }

    private async attempt(grant: Grant): Promise<AttemptEnd> {
        const sentMs = this.parts.scheduler.nowMs();
        const attemptTimes = new TokenTimes();
        recordDecision(this.parts, this.request, "sent", { upstream: grant.upstream.id, fromToken: this.times.tokens });
        const signal = AbortSignal.any([this.request.disconnectSignal, grant.preemptionSignal]);
        const opened = await this.parts.engines.open(grant.upstream, this.engineRequest(grant), signal);
        const end = opened.isOk()
            ? await this.relay(opened.value, grant, sentMs, attemptTimes)
            : this.endOf(opened.error, grant);
        this.mayHaveRun ||= opened.isOk() || mayHaveDoneWork(opened.error);
        this.grants.reportResult(grant, end.kind === "failed" ? end.error : cancelledUnlessWhole(end.kind));
        grant.end(grantEnd(end, attemptTimes, sentMs));
        return end;
    }

    private async relay(stream: EngineStream, grant: Grant, sentMs: number, attemptTimes: TokenTimes): Promise<AttemptEnd> {
        const { scheduler } = this.parts;
        const relayed = await stream.relay((events, tokenCount) => {
            if (tokenCount > 0) {
                const nowMs = scheduler.nowMs();
                if (this.times.tokens === 0) {
                    this.noteFirstToken(grant, nowMs);
                }
                attemptTimes.add(nowMs, tokenCount);
                this.times.add(nowMs, tokenCount);
                this.deliveredText.append(events);
                grant.reportProgress(attemptTimes.tokens, (attemptTimes.firstTokenAtMs ?? nowMs) - sentMs);
            }
            return this.work.sink.write(events);
        });
        this.summary.wastedTokens += stream.receivedTokens - this.times.tokens;
        return relayed.isOk() ? { kind: "whole" } : this.endOf(relayed.error, grant);
    }

    private endOf(error: UpstreamError, grant: Grant): AttemptEnd {
        if (this.request.disconnectSignal.aborted) {
            return { kind: "caller-gone" };
        }
        if (error.kind === "cancelled" && grant.preemptionSignal.aborted) {
            if (grant.preemptionSignal.reason === "slow-upstream") {
                this.grants.excludeUpstream(grant);
            }
            recordDecision(this.parts, this.request, "preempted", { upstream: grant.upstream.id, tokens: this.times.tokens });
            return { kind: "preempted" };
        }
        return { kind: "failed", error };
    }

    /** Decides whether a failed attempt is followed by another one. */
    private goOnAfter(error: UpstreamError, grant: Grant, pool: Pool): boolean {
        this.grants.excludeUpstream(grant);
        if (isResumeRefusal(error) && this.times.tokens > 0 && !this.startOver()) {
            return false;
        }
        const question = {
            failure: { mayHaveRun: mayHaveDoneWork(error), isRequestFault: error.kind === "refused" && isRequestFault(error.status) },
            isRepeatable: pool.repeatable,
            attempts: this.summary.attempts,
            maxAttempts: this.parts.callerLimits.maxAttempts,
        };
        const goesOn = admitRetry(question, this.parts.retryBudget);
        if (goesOn) {
            const kind = this.times.tokens > 0 ? "continued" : "retried";
            recordDecision(this.parts, this.request, kind, {
                after: error.kind,
                upstream: grant.upstream.id,
                fromToken: this.times.tokens,
            });
        }
        return goesOn;
    }

    /** No engine that is left can resume: the answer starts over when the caller has none of it yet. */
    private startOver(): boolean {
        if (!this.work.sink.tryReset()) {
            return false;
        }
        this.summary.wastedTokens += this.times.tokens;
        this.times.resetCount();
        this.deliveredText = this.newText();
        return true;
    }

    private newText(): CompletionTextBuffer {
        return new CompletionTextBuffer(this.work.endpoint === "/v1/chat/completions");
    }

    private engineRequest(grant: Grant): EngineRequest {
        return {
            requestId: this.request.requestId,
            body: this.engineBody(),
            endpoint: this.work.endpoint,
            priority: grant.priority,
            resumeFromToken: this.times.tokens,
            resumePrefix: this.times.tokens === 0 ? "" : this.deliveredText.toString(),
        };
    }

    /** A whole answer is put together out of a stream, and its usage is then wanted in any case. */
    private engineBody(): Readonly<Record<string, unknown>> {
        const { body } = this.work;
        return body.stream === true ? body : { ...body, stream_options: { include_usage: true } };
    }

    private noteFirstToken(grant: Grant, nowMs: number): void {
        recordDecision(this.parts, this.request, "first-token", {
            upstream: grant.upstream.id,
            afterMs: Math.round(nowMs - this.request.arrivedMs),
        });
    }

    private noteTimes(): void {
        const { firstTokenAtMs, maxGapMs, meanGapMs, tokens } = this.times;
        this.summary.firstTokenMs = firstTokenAtMs === undefined ? undefined : firstTokenAtMs - this.request.arrivedMs;
        this.summary.maxTokenGapMs = maxGapMs;
        this.summary.meanTokenGapMs = meanGapMs;
        this.summary.tokens = tokens;
    }

    private pathKey(): string {
        const key = this.request.incoming.headers["idempotency-key"];
        return typeof key === "string" ? key : this.request.requestId;
    }

    private fail(fault: CallerError): void {
        this.summary.status = fault.status;
        this.summary.outcome = fault.outcome;
        this.summary.errorCode = fault.code;
        this.work.sink.fail(fault);
    }
}

/** Only these kinds of failure are sure to have left the engine without work. */
function mayHaveDoneWork(error: UpstreamError): boolean {
    return error.kind === "broken" || error.kind === "silent" || error.kind === "cancelled";
}

/** A cancelled stream tells nothing about its engine. */
function cancelledUnlessWhole(kind: AttemptEnd["kind"]): UpstreamError | undefined {
    return kind === "whole" ? undefined : { kind: "cancelled", status: undefined, message: "the stream was cancelled" };
}

function isResumeRefusal(error: UpstreamError): boolean {
    return error.kind === "refused" && error.status === undefined;
}

function isRequestFault(status: number | undefined): boolean {
    return status !== undefined && status >= 400 && status < 500;
}

function callerGone(mayHaveRun: boolean): CallerError {
    return new CallerError(
        { status: 499, code: "caller_gone", outcome: mayHaveRun ? "unknown" : "not-run" },
        "the caller closed its connection",
    );
}

function grantEnd(end: AttemptEnd, times: TokenTimes, sentMs: number): GrantEnd {
    const results = { "whole": "completed", "preempted": "cancelled", "caller-gone": "cancelled", "failed": "failed" } as const;
    return {
        result: results[end.kind],
        outputTokens: times.tokens,
        firstTokenMs: times.firstTokenAtMs === undefined ? undefined : times.firstTokenAtMs - sentMs,
        maxTokenGapMs: times.maxGapMs,
        meanTokenGapMs: times.meanGapMs,
    };
}
