import { err, type Result } from "neverthrow";
import type { Pool } from "../../schema/config/Pool.js";
import type { DispatchRefusal } from "../services/DispatchRefusal.js";
import type { Grant } from "../services/Grant.js";
import type { UpstreamError } from "../services/UpstreamError.js";
import type { CallDependencies } from "./CallDependencies.js";
import type { CallerRequest } from "./CallerRequest.js";
import type { CallSummary } from "./CallSummary.js";
import { createTicket } from "./createTicket.js";
import { recordDecision } from "./recordDecision.js";

/** Limit of the ticket schema. */
const maxExcludedUpstreams = 16;

interface GrantRequest {
    readonly pool: Pool;
    readonly service: string;
    readonly promptTokens: number;
    readonly maxOutputTokens: number;
    readonly prefixHashes: number[];
    readonly waitedMs: number;
    readonly maxQueueMs: number;
    /** The caller already has part of the response. */
    readonly isResumed?: boolean;
}

/** Acquires the grants of one request, skipping upstreams that have failed it or whose circuit breaker is open. */
export class GrantSource {
    private readonly excludedUpstreams: string[] = [];
    private ticketAttempt = 0;

    constructor(
        private readonly dependencies: CallDependencies,
        private readonly request: CallerRequest,
        private readonly summary: CallSummary,
    ) {}

    /** Queues tickets until a grant names an upstream whose circuit breaker permits a request. */
    async acquire(grantRequest: GrantRequest, signal: AbortSignal): Promise<Result<Grant, DispatchRefusal>> {
        for (;;) {
            const granted = await this.requestGrant(grantRequest, signal);
            if (granted.isErr() || this.dependencies.circuitBreakers.getOrCreate(granted.value.upstream.id).tryAcquirePermission()) {
                return granted.map(grant => this.recordGrant(grant));
            }
            this.skipUpstream(granted.value);
            if (this.excludedUpstreams.length > maxExcludedUpstreams) {
                return err({
                    kind: "no-upstream",
                    retryAfterMs: undefined,
                    message: "all upstreams tried for this request are failing; check their logs",
                });
            }
        }
    }

    /** Reports the result of an attempt to the upstream's circuit breaker, so that a failing upstream is skipped. Errors that say nothing about its health only release the permission. */
    reportResult(grant: Grant, error: UpstreamError | undefined): void {
        const breaker = this.dependencies.circuitBreakers.getOrCreate(grant.upstream.id);
        switch (error?.kind) {
            case undefined:
                breaker.recordSuccess();
                break;
            case "not-sent":
            case "broken":
            case "silent":
                breaker.recordFailure();
                break;
            default:
                breaker.releasePermission();
        }
    }

    /** Excludes the grant's upstream from later attempts of this request. */
    excludeUpstream(grant: Grant): void {
        this.excludedUpstreams.push(grant.upstream.id);
    }

    private async requestGrant(grantRequest: GrantRequest, signal: AbortSignal): Promise<Result<Grant, DispatchRefusal>> {
        const attempt = this.ticketAttempt++;
        const excludedUpstreams = this.excludedUpstreams.slice(-maxExcludedUpstreams);
        const ticket = createTicket(this.dependencies, this.request, { ...grantRequest, attempt, excludedUpstreams });
        recordDecision(this.dependencies, this.request, "queued", { pool: grantRequest.pool.name, attempt });
        const granted = await this.dependencies.dispatch.acquire(ticket, signal);
        if (granted.isErr()) {
            recordDecision(this.dependencies, this.request, granted.error.kind === "shed" ? "shed" : "refused", {
                kind: granted.error.kind,
            });
        }
        return granted;
    }

    private skipUpstream(grant: Grant): void {
        grant.end({ result: "unused", outputTokens: 0 });
        this.excludeUpstream(grant);
        recordDecision(this.dependencies, this.request, "upstream", { upstream: grant.upstream.id, circuit: "open" });
    }

    private recordGrant(grant: Grant): Grant {
        this.summary.queueMs ??= this.dependencies.scheduler.nowMs() - this.request.arrivedMs;
        this.summary.upstreamId = grant.upstream.id;
        this.summary.attempts++;
        recordDecision(this.dependencies, this.request, "granted", { upstream: grant.upstream.id });
        return grant;
    }
}
