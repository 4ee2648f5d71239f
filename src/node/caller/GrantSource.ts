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

/** As many as a ticket can name. */
const maxExcludedUpstreams = 16;

interface GrantWork {
    readonly pool: Pool;
    readonly service: string;
    readonly promptTokens: number;
    readonly maxOutputTokens: number;
    readonly prefixHashes: number[];
    readonly waitedMs: number;
    readonly maxQueueMs: number;
    /** The caller has part of the answer. */
    readonly isResumed?: boolean;
}

/** Gets the grants of one request, for upstreams that have not failed it and whose circuit is not open. */
export class GrantSource {
    private readonly excludedUpstreams: string[] = [];
    private ticketAttempt = 0;

    constructor(
        private readonly parts: CallDependencies,
        private readonly request: CallerRequest,
        private readonly summary: CallSummary,
    ) {}

    async acquire(work: GrantWork, signal: AbortSignal): Promise<Result<Grant, DispatchRefusal>> {
        for (;;) {
            const granted = await this.offer(work, signal);
            if (granted.isErr() || this.parts.breakers.getOrCreate(granted.value.upstream.id).tryAcquirePermission()) {
                return granted.map(grant => this.note(grant));
            }
            this.passOver(granted.value);
            if (this.excludedUpstreams.length > maxExcludedUpstreams) {
                return err({
                    kind: "no-upstream",
                    retryAfterMs: undefined,
                    message: "every upstream that was tried is failing; see their logs",
                });
            }
        }
    }

    /** Tells how the use of a grant went, so that a failing upstream is passed over. */
    reportResult(grant: Grant, error: UpstreamError | undefined): void {
        const breaker = this.parts.breakers.getOrCreate(grant.upstream.id);
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

    /** This request goes to the upstream no more. */
    excludeUpstream(grant: Grant): void {
        this.excludedUpstreams.push(grant.upstream.id);
    }

    private async offer(work: GrantWork, signal: AbortSignal): Promise<Result<Grant, DispatchRefusal>> {
        const attempt = this.ticketAttempt++;
        const excludedUpstreams = this.excludedUpstreams.slice(-maxExcludedUpstreams);
        const ticket = createTicket(this.parts, this.request, { ...work, attempt, excludedUpstreams });
        recordDecision(this.parts, this.request, "queued", { pool: work.pool.name, attempt });
        const granted = await this.parts.dispatch.acquire(ticket, signal);
        if (granted.isErr()) {
            recordDecision(this.parts, this.request, granted.error.kind === "shed" ? "shed" : "refused", { kind: granted.error.kind });
        }
        return granted;
    }

    private passOver(grant: Grant): void {
        grant.end({ result: "unused", outputTokens: 0 });
        this.excludeUpstream(grant);
        recordDecision(this.parts, this.request, "upstream", { upstream: grant.upstream.id, circuit: "open" });
    }

    private note(grant: Grant): Grant {
        this.summary.queueMs ??= this.parts.scheduler.nowMs() - this.request.arrivedMs;
        this.summary.upstreamId = grant.upstream.id;
        this.summary.attempts++;
        recordDecision(this.parts, this.request, "granted", { upstream: grant.upstream.id });
        return grant;
    }
}
