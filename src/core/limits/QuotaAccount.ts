import type { QuotaLoan } from "../../schema/peer/QuotaLoan.js";
import type { QuotaReport } from "../../schema/peer/QuotaReport.js";
import type { QuotaDecision } from "./QuotaDecision.js";
import type { QuotaLimits } from "./QuotaLimits.js";
import { quotaWindowSeconds } from "./quotaWindowSeconds.js";
import { SlidingWindow } from "./SlidingWindow.js";

/** Time between reports while there is unreported usage, a valid loan or a request in flight. */
const reportIntervalMs = 1000;
/** After this long without an answer the owner may have dropped this VM's usage, so the next report carries the history again. */
const historyResendAfterMs = 50_000;
/** Time between reports when the loan does not cover the expected demand. */
const minReportIntervalMs = 50;
/** A report asks for as much as the demand rate needs over this time. */
const loanHorizonMs = 2000;
/** Fewest requests that are asked for while there is demand, before the cap by `maxWantedLimitShare`. */
const minWantedRequests = 4;
/** Largest fraction of a limit that one report asks for; a single request may be asked for in any case. */
const maxWantedLimitShare = 0.25;
/** Fraction of its even share that a VM may use before the owner has issued the first loan. */
const beforeFirstLoanShare = 0.1;

/**
 * One VM's account of one customer's limits. Requests are admitted against a loan that the quota owner issues ahead of use, or against this
 * VM's even share of the limits while the owner is unreachable.
 */
export class QuotaAccount {
    /** A report awaits its answer; no other is sent until it is answered or lost. */
    isReportInFlight = false;
    /** Usage of this VM in the last minute. */
    private readonly requests: SlidingWindow;
    private readonly tokens: SlidingWindow;
    /** Usage of this VM since the account was created. */
    private usedRequests = 0;
    private usedTokens = 0;
    private inFlight = 0;
    private loanRequests = 0;
    private loanTokens = 0;
    private loanConcurrent = 0;
    private loanExpiresAtMs = -Infinity;
    /** The owner lent less than the last report asked for, so requests beyond the loan are refused. */
    private isLoanReduced = false;
    private owner = "";
    /** Tells reports to different owners apart, including an owner that was replaced and returned: it has dropped this VM's usage. */
    private ownerChanges = 0;
    private isOwnerUnreachable = false;
    private isHistoryDue = true;
    private lastLoanAtMs = -Infinity;
    /** Fractions of the limits that the fleet uses, from the last loan. */
    private fleetUsedRequestShare = 0;
    private fleetUsedTokenShare = 0;
    private fleetUsedAtMs = -Infinity;
    private demandRequests = 0;
    private demandTokens = 0;
    private requestsPerMs = 0;
    private tokensPerMs = 0;
    private lastReportAtMs = -Infinity;
    private lastDemandAtMs = -Infinity;
    private hasUnreportedChange = false;
    /** Contents of the last report. */
    private lastReport = { requests: 0, tokens: 0, atMs: 0, wantedRequests: 0, wantedTokens: 0, ownerChanges: 0 };

    constructor(nowMs: number) {
        this.requests = new SlidingWindow(nowMs);
        this.tokens = new SlidingWindow(nowMs);
    }

    /** True when the account holds no state that affects the limits and may be deleted. */
    isIdle(nowMs: number): boolean {
        return this.inFlight === 0 && !this.hasUnreportedChange && nowMs - this.lastDemandAtMs > (quotaWindowSeconds + 1) * 1000;
    }

    /** Sets the quota owner. A new owner, or a new incarnation of it, gets the usage of the last minute with the next report. */
    setOwner(owner: string): void {
        if (owner !== this.owner) {
            this.owner = owner;
            this.ownerChanges++;
            this.isHistoryDue = true;
            this.isOwnerUnreachable = false;
            this.hasUnreportedChange ||= this.requests.total > 0;
            this.lastReportAtMs = -Infinity;
        }
    }

    /**
     * Decides on a request and counts it when it is admitted. `evenShare` is one VM's fraction of each limit, in (0, 1]. `isNew` is false
     * for a request that was undecided before, so that its demand is not counted twice.
     */
    admit(limits: QuotaLimits, estimatedTokens: number, evenShare: number, nowMs: number, isNew = true): QuotaDecision {
        const tokens = Math.min(estimatedTokens, limits.tokens);
        if (isNew) {
            this.recordDemand(tokens, nowMs);
        }
        const decision = this.decide(limits, tokens, evenShare, nowMs);
        if (decision.kind === "admitted") {
            this.recordUsage(tokens, nowMs);
        }
        return decision;
    }

    /** Decides on a request before the first loan and counts it when it is admitted; only a small fraction of the even share may be used. */
    admitBeforeFirstLoan(limits: QuotaLimits, estimatedTokens: number, evenShare: number, nowMs: number): QuotaDecision {
        const tokens = Math.min(estimatedTokens, limits.tokens);
        const decision = this.decideWithinShare(limits, tokens, evenShare * beforeFirstLoanShare, nowMs);
        if (decision.kind === "admitted") {
            this.recordUsage(tokens, nowMs);
        }
        return decision;
    }

    /** Records the end of a request and replaces its estimated tokens by the actual ones. */
    recordEnd(limits: QuotaLimits, estimatedTokens: number, actualTokens: number, nowMs: number): void {
        const correction = actualTokens - Math.min(estimatedTokens, limits.tokens);
        this.inFlight--;
        this.hasUnreportedChange = true;
        this.usedTokens += correction;
        this.loanTokens -= correction;
        this.tokens.add(correction, nowMs);
    }

    /** Whether a report is to be sent now. */
    isReportDue(limits: QuotaLimits, nowMs: number): boolean {
        if (this.isReportInFlight) {
            return false;
        }
        const sinceReportMs = nowMs - this.lastReportAtMs;
        const isLoanRunningLow = this.lastDemandAtMs > this.lastReportAtMs && !this.canCoverExpectedDemand(limits, nowMs);
        if (isLoanRunningLow && sinceReportMs >= minReportIntervalMs) {
            return true;
        }
        const hasLoanInUse = this.loanExpiresAtMs > nowMs || this.inFlight > 0;
        return (this.hasUnreportedChange || hasLoanInUse) && sinceReportMs >= reportIntervalMs;
    }

    /** Builds the next report. `isReportInFlight` stays set until `acceptLoan` or `handleReportLoss` is called. */
    buildReport(limits: QuotaLimits, nowMs: number): QuotaReport {
        this.isReportInFlight = true;
        this.hasUnreportedChange = false;
        this.updateRates(nowMs);
        this.lastReportAtMs = nowMs;
        const hasRecentDemand = nowMs - this.lastDemandAtMs < reportIntervalMs;
        const wantedRequests = hasRecentDemand ? Math.max(minWantedRequests, Math.ceil(this.requestsPerMs * loanHorizonMs)) : 0;
        const tokensPerRequest = this.requestsPerMs > 0 ? this.tokensPerMs / this.requestsPerMs : 0;
        const wantedTokens = wantedRequests * tokensPerRequest;
        this.lastReport = {
            requests: this.usedRequests,
            tokens: this.usedTokens,
            atMs: nowMs,
            wantedRequests: Math.max(
                Math.min(wantedRequests, 1),
                Math.floor(Math.min(wantedRequests, limits.requests * maxWantedLimitShare)),
            ),
            wantedTokens: Math.max(Math.min(wantedTokens, tokensPerRequest), Math.min(wantedTokens, limits.tokens * maxWantedLimitShare)),
            ownerChanges: this.ownerChanges,
        };
        return {
            wantedRequests: this.lastReport.wantedRequests,
            wantedTokens: this.lastReport.wantedTokens,
            wantedConcurrent: this.inFlight + wantedRequests,
            usedRequests: this.usedRequests,
            usedTokens: this.usedTokens,
            inFlight: this.inFlight,
            ...(this.isHistoryDue || nowMs - this.lastLoanAtMs > historyResendAfterMs ? { history: this.buildHistory(nowMs) } : {}),
        };
    }

    /**
     * Applies the loan that answers the last report; usage since that report is deducted from it. If the owner has changed since the
     * report, only the fleet usage in the answer counts, which the new owner is sent with the history.
     */
    acceptLoan(loan: QuotaLoan, nowMs: number): void {
        this.isReportInFlight = false;
        this.fleetUsedRequestShare = loan.fleetUsedRequests;
        this.fleetUsedTokenShare = loan.fleetUsedTokens;
        this.fleetUsedAtMs = nowMs;
        if (this.lastReport.ownerChanges !== this.ownerChanges) {
            return;
        }
        this.lastLoanAtMs = nowMs;
        this.isHistoryDue = false;
        this.isOwnerUnreachable = false;
        this.loanRequests = loan.requests - (this.usedRequests - this.lastReport.requests);
        this.loanTokens = loan.tokens - (this.usedTokens - this.lastReport.tokens);
        this.loanConcurrent = loan.concurrent;
        const isLoanReturned = this.lastReport.wantedRequests === 0;
        this.loanExpiresAtMs = isLoanReturned ? -Infinity : this.lastReport.atMs + loan.validMs;
        this.isLoanReduced = loan.requests < this.lastReport.wantedRequests
            || loan.tokens < this.lastReport.wantedTokens
            || loan.concurrent <= this.inFlight;
    }

    /** Records that the last report got no answer; the even share applies until the owner answers again. */
    handleReportLoss(): void {
        this.isReportInFlight = false;
        this.isOwnerUnreachable = true;
        this.hasUnreportedChange = true;
    }

    private decide(limits: QuotaLimits, tokens: number, evenShare: number, nowMs: number): QuotaDecision {
        if (this.loanExpiresAtMs > nowMs) {
            const exhaustedLimit = this.findExhaustedLimit(limits, tokens);
            if (exhaustedLimit === undefined) {
                return { kind: "admitted" };
            }
            if (this.isLoanReduced) {
                return buildRefusal(exhaustedLimit, limits);
            }
        }
        return this.isOwnerUnreachable ? this.decideWithinShare(limits, tokens, evenShare, nowMs) : { kind: "undecided" };
    }

    private findExhaustedLimit(limits: QuotaLimits, tokens: number): keyof QuotaLimits | undefined {
        if (limits.requests !== Infinity && this.loanRequests < 1) {
            return "requests";
        }
        if (limits.tokens !== Infinity && this.loanTokens < tokens) {
            return "tokens";
        }
        return limits.concurrent !== Infinity && this.inFlight >= this.loanConcurrent ? "concurrent" : undefined;
    }

    /**
     * Decides against a fraction of the limits. The usage is this VM's own in the last minute or, where larger, its share of the fleet's
     * usage in the owner's last answer, which decays linearly to zero over the window.
     */
    private decideWithinShare(limits: QuotaLimits, tokens: number, share: number, nowMs: number): QuotaDecision {
        const expiredShare = Math.min(1, (nowMs - this.fleetUsedAtMs) / (quotaWindowSeconds * 1000));
        const assumedRequests = Math.min(1, this.fleetUsedRequestShare) * (1 - expiredShare) * limits.requests * share;
        const assumedTokens = Math.min(1, this.fleetUsedTokenShare) * (1 - expiredShare) * limits.tokens * share;
        const usedRequests = Math.max(this.requests.sum(nowMs), limits.requests === Infinity ? 0 : assumedRequests);
        const usedTokens = Math.max(this.tokens.sum(nowMs), limits.tokens === Infinity ? 0 : assumedTokens);
        if (usedRequests + 1 > Math.max(1, limits.requests * share)) {
            return buildRefusal("requests", limits);
        }
        if (usedTokens + tokens > Math.max(tokens, limits.tokens * share)) {
            return buildRefusal("tokens", limits);
        }
        const maxConcurrent = Math.max(1, Math.floor(limits.concurrent * share));
        return this.inFlight + 1 > maxConcurrent ? buildRefusal("concurrent", limits) : { kind: "admitted" };
    }

    private recordDemand(tokens: number, nowMs: number): void {
        this.demandRequests++;
        this.demandTokens += tokens;
        this.lastDemandAtMs = nowMs;
    }

    private recordUsage(tokens: number, nowMs: number): void {
        this.inFlight++;
        this.hasUnreportedChange = true;
        this.usedRequests++;
        this.usedTokens += tokens;
        this.loanRequests--;
        this.loanTokens -= tokens;
        this.requests.add(1, nowMs);
        this.tokens.add(tokens, nowMs);
    }

    /**
     * Whether the loan covers half of the demand since the last report, or at least one request, and stays valid for more than a report
     * interval.
     */
    private canCoverExpectedDemand(limits: QuotaLimits, nowMs: number): boolean {
        const tokensPerRequest = this.demandRequests > 0 ? this.demandTokens / this.demandRequests : 0;
        const expectedRequests = Math.max(1, this.demandRequests / 2);
        return this.loanExpiresAtMs - nowMs > reportIntervalMs
            && (limits.requests === Infinity || this.loanRequests >= expectedRequests)
            && (limits.tokens === Infinity || this.loanTokens >= expectedRequests * tokensPerRequest)
            && (limits.concurrent === Infinity || this.inFlight + 1 <= this.loanConcurrent);
    }

    /** Updates the demand rates per millisecond: moving averages in which the time since the last report weighs one half. */
    private updateRates(nowMs: number): void {
        const elapsedMs = Math.min(Math.max(nowMs - this.lastReportAtMs, minReportIntervalMs), loanHorizonMs);
        this.requestsPerMs = (this.requestsPerMs + this.demandRequests / elapsedMs) / 2;
        this.tokensPerMs = (this.tokensPerMs + this.demandTokens / elapsedMs) / 2;
        this.demandRequests = 0;
        this.demandTokens = 0;
    }

    private buildHistory(nowMs: number): QuotaReport["history"] {
        const remainingShare = Math.max(0, 1 - (nowMs - this.fleetUsedAtMs) / (quotaWindowSeconds * 1000));
        return {
            requests: this.requests.getAmountsPerSecond(nowMs),
            tokens: this.tokens.getAmountsPerSecond(nowMs),
            fleetUsedRequests: this.fleetUsedRequestShare * remainingShare,
            fleetUsedTokens: this.fleetUsedTokenShare * remainingShare,
        };
    }
}

/** Names the exhausted limit and the time after which one more request may fit. */
function buildRefusal(exhaustedLimit: keyof QuotaLimits, limits: QuotaLimits): QuotaDecision {
    const retryAfterMs = exhaustedLimit === "concurrent"
        ? 1000
        : Math.max(100, Math.ceil(quotaWindowSeconds * 1000 / Math.max(1, limits[exhaustedLimit])));
    return { kind: "refused", exhaustedLimit, retryAfterMs };
}
