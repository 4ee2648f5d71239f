import type { QuotaLoan } from "../../schema/peer/QuotaLoan.js";
import type { QuotaReport } from "../../schema/peer/QuotaReport.js";
import type { FleetSnapshot } from "./FleetSnapshot.js";
import { loanValidMs } from "./loanValidMs.js";
import type { QuotaLimits } from "./QuotaLimits.js";
import { quotaWindowSeconds } from "./quotaWindowSeconds.js";
import { SlidingWindow } from "./SlidingWindow.js";

/** After a member came or went, other VMs have told their use of the last minute by then. */
const handOverMs = 800;
/** Share of a limit that is lent before that. */
const handOverShare = 0.02;

/** A VM that asked within this time is likely to ask again. */
const activeMs = 2000;

interface Borrower {
    readonly requests: SlidingWindow;
    readonly tokens: SlidingWindow;
    usedRequests: number;
    usedTokens: number;
    inFlight: number;
    loan: QuotaLoan;
    loanEndsMs: number;
    /** When it last wanted to borrow. */
    wantedAtMs: number;
}

/**
 * Lends out one customer's limits. What VMs report as used counts for a minute; what is lent counts until it is reported or ends. After a
 * hand-over the use of VMs that are gone is taken from the share that the former owner had told the others.
 */
export class QuotaOwner {
    private readonly borrowers = new Map<string, Borrower>();
    private readonly assumedRequests: SlidingWindow;
    private readonly assumedTokens: SlidingWindow;
    private knownShareRequests = 0;
    private knownShareTokens = 0;
    private handOverEndsMs: number | undefined;
    private lastReportMs: number;

    constructor(nowMs: number, fleet: FleetSnapshot) {
        this.assumedRequests = new SlidingWindow(nowMs);
        this.assumedTokens = new SlidingWindow(nowMs);
        this.lastReportMs = nowMs;
        const isHandOver = nowMs - fleet.membershipChangedAtMs < quotaWindowSeconds * 1000;
        this.handOverEndsMs = isHandOver ? fleet.membershipChangedAtMs + handOverMs : undefined;
    }

    /** True when nothing that was reported still counts. */
    isIdle(nowMs: number): boolean {
        return nowMs - this.lastReportMs > (quotaWindowSeconds + 1) * 1000;
    }

    /** Takes a report in and answers it with a new loan. */
    lend(vm: string, report: QuotaReport, limits: QuotaLimits, fleet: FleetSnapshot, nowMs: number): QuotaLoan {
        this.lastReportMs = nowMs;
        const borrower = this.takeReport(vm, report, nowMs);
        this.endHandOver(limits, nowMs);
        const memberShare = fleet.memberCount / Math.max(fleet.memberCount, fleet.possiblyAliveCount);
        const usedRequests = this.used("requests", fleet, nowMs);
        const usedTokens = this.used("tokens", fleet, nowMs);
        const freeRequests = freeAmount(limits.requests, memberShare, usedRequests);
        const freeTokens = freeAmount(limits.tokens, memberShare, usedTokens);
        const tokensEach = report.wantedTokens / Math.max(1, report.wantedRequests);
        const loan: QuotaLoan = {
            requests: Math.floor(this.part(report.wantedRequests, freeRequests, limits.requests, 1, nowMs)),
            tokens: this.part(report.wantedTokens, freeTokens, limits.tokens, tokensEach, nowMs),
            concurrent: this.concurrentFor(vm, report, limits, memberShare, fleet, nowMs),
            validMs: loanValidMs,
            fleetUsedRequests: usedRequests.total / limits.requests,
            fleetUsedTokens: usedTokens.total / limits.tokens,
        };
        borrower.loan = loan;
        borrower.loanEndsMs = nowMs + loanValidMs;
        return loan;
    }

    /** What one VM gets of what is free: when that runs short, no more than an even part, but at least `unit`. */
    private part(wanted: number, free: number, limit: number, unit: number, nowMs: number): number {
        if (free === Infinity) {
            return wanted;
        }
        const most = this.handOverEndsMs === undefined ? free / this.activeCount(nowMs) : limit * handOverShare;
        return Math.min(wanted, free, Math.max(unit, most));
    }

    /** VMs that want to borrow now. */
    private activeCount(nowMs: number): number {
        let count = 0;
        for (const borrower of this.borrowers.values()) {
            count += nowMs - borrower.wantedAtMs < activeMs ? 1 : 0;
        }
        return Math.max(1, count);
    }

    private takeReport(vm: string, report: QuotaReport, nowMs: number): Borrower {
        let borrower = this.borrowers.get(vm);
        const isRestarted = borrower !== undefined && report.usedRequests < borrower.usedRequests;
        if (borrower === undefined) {
            borrower = newBorrower(nowMs, report);
            this.borrowers.set(vm, borrower);
            this.takeHistory(borrower, report, nowMs);
        }
        const requests = report.usedRequests - (isRestarted ? 0 : borrower.usedRequests);
        const tokens = report.usedTokens - (isRestarted ? 0 : borrower.usedTokens);
        borrower.requests.add(requests, nowMs);
        borrower.tokens.add(tokens, nowMs);
        borrower.usedRequests = report.usedRequests;
        borrower.usedTokens = report.usedTokens;
        borrower.inFlight = report.inFlight;
        borrower.wantedAtMs = report.wantedRequests > 0 ? nowMs : borrower.wantedAtMs;
        borrower.loanEndsMs = -Infinity;
        return borrower;
    }

    private takeHistory(borrower: Borrower, report: QuotaReport, nowMs: number): void {
        if (report.history === undefined) {
            return;
        }
        report.history.requests.forEach((amount, age) => {
            borrower.requests.add(amount, nowMs, age);
        });
        report.history.tokens.forEach((amount, age) => {
            borrower.tokens.add(amount, nowMs, age);
        });
        this.knownShareRequests = Math.max(this.knownShareRequests, report.history.fleetUsedRequests);
        this.knownShareTokens = Math.max(this.knownShareTokens, report.history.fleetUsedTokens);
    }

    /** Once all VMs have told their use, the rest of what the former owner had counted is spread evenly over the last minute. */
    private endHandOver(limits: QuotaLimits, nowMs: number): void {
        if (this.handOverEndsMs === undefined || nowMs < this.handOverEndsMs) {
            return;
        }
        this.handOverEndsMs = undefined;
        const missingRequests = missingAmount(limits.requests, this.knownShareRequests, this.sumOf("requests", nowMs));
        const missingTokens = missingAmount(limits.tokens, this.knownShareTokens, this.sumOf("tokens", nowMs));
        for (let age = 0; age < quotaWindowSeconds; age++) {
            this.assumedRequests.add(missingRequests / quotaWindowSeconds, nowMs, age);
            this.assumedTokens.add(missingTokens / quotaWindowSeconds, nowMs, age);
        }
    }

    private sumOf(kind: "requests" | "tokens", nowMs: number): number {
        let sum = 0;
        for (const borrower of this.borrowers.values()) {
            sum += borrower[kind].sum(nowMs);
        }
        return sum;
    }

    /** Used and lent out, by members and in all. */
    private used(kind: "requests" | "tokens", fleet: FleetSnapshot, nowMs: number): { readonly members: number; readonly total: number; } {
        const assumed = (kind === "requests" ? this.assumedRequests : this.assumedTokens).sum(nowMs);
        let members = 0;
        let total = assumed;
        for (const [vm, borrower] of this.borrowers) {
            const amount = borrower[kind].sum(nowMs) + (borrower.loanEndsMs > nowMs ? borrower.loan[kind] : 0);
            total += amount;
            members += fleet.isMember(vm) ? amount : 0;
        }
        return { members, total };
    }

    private concurrentFor(
        vm: string,
        report: QuotaReport,
        limits: QuotaLimits,
        memberShare: number,
        fleet: FleetSnapshot,
        nowMs: number,
    ): number {
        if (limits.concurrent === Infinity) {
            return report.wantedConcurrent;
        }
        let taken = 0;
        for (const [other, borrower] of this.borrowers) {
            if (other !== vm && fleet.isMember(other)) {
                taken += Math.max(borrower.inFlight, borrower.loanEndsMs > nowMs ? borrower.loan.concurrent : 0);
            }
        }
        const budget = Math.max(1, Math.floor(limits.concurrent * memberShare));
        return Math.max(0, Math.min(report.wantedConcurrent, budget - taken));
    }
}

function newBorrower(nowMs: number, report: QuotaReport): Borrower {
    return {
        requests: new SlidingWindow(nowMs),
        tokens: new SlidingWindow(nowMs),
        // What was used before is in the report's history, or too long ago to count.
        usedRequests: report.usedRequests,
        usedTokens: report.usedTokens,
        inFlight: 0,
        loan: { requests: 0, tokens: 0, concurrent: 0, validMs: 0, fleetUsedRequests: 0, fleetUsedTokens: 0 },
        loanEndsMs: -Infinity,
        wantedAtMs: -Infinity,
    };
}

function freeAmount(limit: number, memberShare: number, used: { readonly members: number; readonly total: number; }): number {
    return Math.max(0, Math.min(limit * memberShare - used.members, limit - used.total));
}

function missingAmount(limit: number, knownShare: number, known: number): number {
    return limit === Infinity ? 0 : Math.max(0, Math.min(1, knownShare) * limit - known);
}
