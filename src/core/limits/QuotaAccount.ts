import type { QuotaLoan } from "../../schema/peer/QuotaLoan.js";
import type { QuotaReport } from "../../schema/peer/QuotaReport.js";
import type { QuotaDecision } from "./QuotaDecision.js";
import type { QuotaLimits } from "./QuotaLimits.js";
import { quotaWindowSeconds } from "./quotaWindowSeconds.js";
import { SlidingWindow } from "./SlidingWindow.js";

/** A report goes out this often while something changes. */
const reportPeriodMs = 1000;
/** An owner that was not reported to for this long may have forgotten this VM. */
const forgottenAfterMs = 50_000;
/** A report goes out this soon after the last one when the loan runs short. */
const urgentReportMs = 50;
/** Loans cover the demand of this time. */
const horizonMs = 2000;
/** Least loan that is asked for, in requests like the last one. */
const leastWantedRequests = 4;
/** Largest part of a limit that one loan is asked for. */
const maxWantedShare = 0.25;
/** Share of its even share that a VM lets through before it has asked the owner. */
const starterShare = 0.1;

/** One VM's part of one customer's limits: a loan ahead of use, and the even share when the owner cannot be reached. */
export class QuotaAccount {
    /** A report is on its way; no other is sent until it is answered or lost. */
    isReportInFlight = false;
    private readonly requests: SlidingWindow;
    private readonly tokens: SlidingWindow;
    private usedRequests = 0;
    private usedTokens = 0;
    private inFlight = 0;
    private loanRequests = 0;
    private loanTokens = 0;
    private loanConcurrent = 0;
    private loanEndsMs = -Infinity;
    private loanWasShort = false;
    private owner = "";
    private isOwnerLost = false;
    private tellsHistory = true;
    private lastAnswerMs = -Infinity;
    private fleetUsedRequests = 0;
    private fleetUsedTokens = 0;
    private fleetUsedAtMs = -Infinity;
    private demandRequests = 0;
    private demandTokens = 0;
    private requestRate = 0;
    private tokenRate = 0;
    private lastReportMs = -Infinity;
    private lastDemandMs = -Infinity;
    private hasNews = false;
    /** What the last report said. */
    private reported = { requests: 0, tokens: 0, atMs: 0, wantedRequests: 0, wantedTokens: 0 };

    constructor(nowMs: number) {
        this.requests = new SlidingWindow(nowMs);
        this.tokens = new SlidingWindow(nowMs);
    }

    /** True when nothing is left that the limits depend on. */
    isIdle(nowMs: number): boolean {
        return this.inFlight === 0 && !this.hasNews && nowMs - this.lastDemandMs > (quotaWindowSeconds + 1) * 1000;
    }

    /** The owner is another VM, or another incarnation of one: it is told the use of the last minute with the next report. */
    setOwner(owner: string): void {
        if (owner !== this.owner) {
            this.owner = owner;
            this.tellsHistory = true;
            this.isOwnerLost = false;
            this.hasNews ||= this.requests.total > 0;
            this.lastReportMs = -Infinity;
        }
    }

    /**
     * Counts the request when it is admitted. `evenShare` is one VM's part of the fleet, in (0, 1]; `isNew` is false for a request that
     * was undecided before.
     */
    admit(limits: QuotaLimits, estimatedTokens: number, evenShare: number, nowMs: number, isNew = true): QuotaDecision {
        const tokens = Math.min(estimatedTokens, limits.tokens);
        if (isNew) {
            this.noteDemand(tokens, nowMs);
        }
        const decision = this.decide(limits, tokens, evenShare, nowMs);
        if (decision.kind === "admitted") {
            this.use(tokens, nowMs);
        }
        return decision;
    }

    /** Lets a request through that waits for the owner's first word, within a small part of the even share. */
    admitBeforeFirstLoan(limits: QuotaLimits, estimatedTokens: number, evenShare: number, nowMs: number): QuotaDecision {
        const tokens = Math.min(estimatedTokens, limits.tokens);
        const decision = this.withinShare(limits, tokens, evenShare * starterShare, nowMs);
        if (decision.kind === "admitted") {
            this.use(tokens, nowMs);
        }
        return decision;
    }

    /** A request has ended; the estimate that was counted is corrected. */
    end(limits: QuotaLimits, estimatedTokens: number, actualTokens: number, nowMs: number): void {
        const correction = actualTokens - Math.min(estimatedTokens, limits.tokens);
        this.inFlight--;
        this.hasNews = true;
        this.usedTokens += correction;
        this.loanTokens -= correction;
        this.tokens.add(correction, nowMs);
    }

    /** Whether a report should go out now. */
    isReportDue(limits: QuotaLimits, nowMs: number): boolean {
        if (this.isReportInFlight) {
            return false;
        }
        const sinceMs = nowMs - this.lastReportMs;
        const isShort = this.lastDemandMs > this.lastReportMs && !this.coversNext(limits, nowMs);
        if (isShort && sinceMs >= urgentReportMs) {
            return true;
        }
        const holdsLoan = this.loanEndsMs > nowMs || this.inFlight > 0;
        return (this.hasNews || holdsLoan) && sinceMs >= reportPeriodMs;
    }

    /** The next report. `isReporting` is set until `receive` or `lose` is called. */
    buildReport(limits: QuotaLimits, nowMs: number): QuotaReport {
        this.isReportInFlight = true;
        this.hasNews = false;
        this.updateRates(nowMs);
        this.lastReportMs = nowMs;
        const isActive = nowMs - this.lastDemandMs < reportPeriodMs;
        const wantedRequests = isActive ? Math.max(leastWantedRequests, Math.ceil(this.requestRate * horizonMs)) : 0;
        const tokensEach = this.requestRate > 0 ? this.tokenRate / this.requestRate : 0;
        const wantedTokens = wantedRequests * tokensEach;
        this.reported = {
            requests: this.usedRequests,
            tokens: this.usedTokens,
            atMs: nowMs,
            wantedRequests: Math.max(Math.min(wantedRequests, 1), Math.floor(Math.min(wantedRequests, limits.requests * maxWantedShare))),
            wantedTokens: Math.max(Math.min(wantedTokens, tokensEach), Math.min(wantedTokens, limits.tokens * maxWantedShare)),
        };
        return {
            wantedRequests: this.reported.wantedRequests,
            wantedTokens: this.reported.wantedTokens,
            wantedConcurrent: this.inFlight + wantedRequests,
            usedRequests: this.usedRequests,
            usedTokens: this.usedTokens,
            inFlight: this.inFlight,
            ...(this.tellsHistory || nowMs - this.lastAnswerMs > forgottenAfterMs ? { history: this.historyAt(nowMs) } : {}),
        };
    }

    /** Takes the loan over that answers the last report. */
    acceptLoan(loan: QuotaLoan, nowMs: number): void {
        this.isReportInFlight = false;
        this.lastAnswerMs = nowMs;
        this.tellsHistory = false;
        this.isOwnerLost = false;
        this.loanRequests = loan.requests - (this.usedRequests - this.reported.requests);
        this.loanTokens = loan.tokens - (this.usedTokens - this.reported.tokens);
        this.loanConcurrent = loan.concurrent;
        const isReturned = this.reported.wantedRequests === 0;
        this.loanEndsMs = isReturned ? -Infinity : this.reported.atMs + loan.validMs;
        this.loanWasShort = loan.requests < this.reported.wantedRequests
            || loan.tokens < this.reported.wantedTokens
            || loan.concurrent <= this.inFlight;
        this.fleetUsedRequests = loan.fleetUsedRequests;
        this.fleetUsedTokens = loan.fleetUsedTokens;
        this.fleetUsedAtMs = nowMs;
    }

    /** The owner did not answer the last report. */
    handleReportLoss(): void {
        this.isReportInFlight = false;
        this.isOwnerLost = true;
        this.hasNews = true;
    }

    private decide(limits: QuotaLimits, tokens: number, evenShare: number, nowMs: number): QuotaDecision {
        if (this.loanEndsMs > nowMs) {
            const lack = this.lackOf(limits, tokens);
            if (lack === undefined) {
                return { kind: "admitted" };
            }
            if (this.loanWasShort) {
                return refusal(lack, limits);
            }
        }
        return this.isOwnerLost ? this.withinShare(limits, tokens, evenShare, nowMs) : { kind: "undecided" };
    }

    private lackOf(limits: QuotaLimits, tokens: number): keyof QuotaLimits | undefined {
        if (limits.requests !== Infinity && this.loanRequests < 1) {
            return "requests";
        }
        if (limits.tokens !== Infinity && this.loanTokens < tokens) {
            return "tokens";
        }
        return limits.concurrent !== Infinity && this.inFlight >= this.loanConcurrent ? "concurrent" : undefined;
    }

    /** Decides by this VM's own use of the last minute, and what it knows the fleet had used when the owner last answered. */
    private withinShare(limits: QuotaLimits, tokens: number, share: number, nowMs: number): QuotaDecision {
        const knownAge = Math.min(1, (nowMs - this.fleetUsedAtMs) / (quotaWindowSeconds * 1000));
        const unknownRequests = Math.min(1, this.fleetUsedRequests) * (1 - knownAge) * limits.requests * share;
        const unknownTokens = Math.min(1, this.fleetUsedTokens) * (1 - knownAge) * limits.tokens * share;
        const usedRequests = Math.max(this.requests.sum(nowMs), limits.requests === Infinity ? 0 : unknownRequests);
        const usedTokens = Math.max(this.tokens.sum(nowMs), limits.tokens === Infinity ? 0 : unknownTokens);
        if (usedRequests + 1 > Math.max(1, limits.requests * share)) {
            return refusal("requests", limits);
        }
        if (usedTokens + tokens > Math.max(tokens, limits.tokens * share)) {
            return refusal("tokens", limits);
        }
        const concurrent = Math.max(1, Math.floor(limits.concurrent * share));
        return this.inFlight + 1 > concurrent ? refusal("concurrent", limits) : { kind: "admitted" };
    }

    private noteDemand(tokens: number, nowMs: number): void {
        this.demandRequests++;
        this.demandTokens += tokens;
        this.lastDemandMs = nowMs;
    }

    private use(tokens: number, nowMs: number): void {
        this.inFlight++;
        this.hasNews = true;
        this.usedRequests++;
        this.usedTokens += tokens;
        this.loanRequests--;
        this.loanTokens -= tokens;
        this.requests.add(1, nowMs);
        this.tokens.add(tokens, nowMs);
    }

    /** Whether the loan lets through as much again as came since the last report, at least one request. */
    private coversNext(limits: QuotaLimits, nowMs: number): boolean {
        const tokensEach = this.demandRequests > 0 ? this.demandTokens / this.demandRequests : 0;
        const expected = Math.max(1, this.demandRequests / 2);
        return this.loanEndsMs - nowMs > reportPeriodMs
            && (limits.requests === Infinity || this.loanRequests >= expected)
            && (limits.tokens === Infinity || this.loanTokens >= expected * tokensEach)
            && (limits.concurrent === Infinity || this.inFlight + 1 <= this.loanConcurrent);
    }

    /** Rates a millisecond, half of it from the time since the last report. */
    private updateRates(nowMs: number): void {
        const elapsedMs = Math.min(Math.max(nowMs - this.lastReportMs, urgentReportMs), horizonMs);
        this.requestRate = (this.requestRate + this.demandRequests / elapsedMs) / 2;
        this.tokenRate = (this.tokenRate + this.demandTokens / elapsedMs) / 2;
        this.demandRequests = 0;
        this.demandTokens = 0;
    }

    private historyAt(nowMs: number): QuotaReport["history"] {
        const remaining = Math.max(0, 1 - (nowMs - this.fleetUsedAtMs) / (quotaWindowSeconds * 1000));
        return {
            requests: this.requests.history(nowMs),
            tokens: this.tokens.history(nowMs),
            fleetUsedRequests: this.fleetUsedRequests * remaining,
            fleetUsedTokens: this.fleetUsedTokens * remaining,
        };
    }
}

/** Refuses, naming the limit that is used up and when one more request may fit. */
function refusal(lack: keyof QuotaLimits, limits: QuotaLimits): QuotaDecision {
    const retryAfterMs = lack === "concurrent" ? 1000 : Math.max(100, Math.ceil(quotaWindowSeconds * 1000 / Math.max(1, limits[lack])));
    return { kind: "refused", exhaustedLimit: lack, retryAfterMs };
}
