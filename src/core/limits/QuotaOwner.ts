import type { QuotaLoan } from "../../schema/peer/QuotaLoan.js";
import type { QuotaReport } from "../../schema/peer/QuotaReport.js";
import type { FleetSnapshot } from "./FleetSnapshot.js";
import { loanValidMs } from "./loanValidMs.js";
import type { QuotaLimits } from "./QuotaLimits.js";
import { quotaWindowSeconds } from "./quotaWindowSeconds.js";
import { SlidingWindow } from "./SlidingWindow.js";

/** Duration of a handoff: time after a membership change by which all VMs should have reported their usage to the new owner. */
const handoffMs = 800;
/** Largest fraction of a limit in one loan during a handoff, when the usage is not fully known. */
const handoffLimitShare = 0.02;

/** A VM that asked for a loan within this time is expected to ask again, so a part of the free amount is kept for it. */
const activeBorrowerMs = 2000;

interface Borrower {
    readonly requests: SlidingWindow;
    readonly tokens: SlidingWindow;
    usedRequests: number;
    usedTokens: number;
    inFlight: number;
    loan: QuotaLoan;
    loanExpiresAtMs: number;
    /** When this VM last asked for a loan above zero. */
    lastWantedAtMs: number;
}

/**
 * Lends out one customer's limits to the VMs of the fleet. Reported usage counts for a minute; a loan counts until the next report or its
 * expiry. After a handoff of ownership, the usage of VMs that have left is derived from the fleet usage in the former owner's last answers.
 */
export class QuotaOwner {
    private readonly borrowers = new Map<string, Borrower>();
    private readonly assumedRequests: SlidingWindow;
    private readonly assumedTokens: SlidingWindow;
    private fleetUsedRequestShare = 0;
    private fleetUsedTokenShare = 0;
    private handoffEndsAtMs: number | undefined;
    private lastReportAtMs: number;

    constructor(nowMs: number, fleet: FleetSnapshot) {
        this.assumedRequests = new SlidingWindow(nowMs);
        this.assumedTokens = new SlidingWindow(nowMs);
        this.lastReportAtMs = nowMs;
        const isHandoff = nowMs - fleet.membershipChangedAtMs < quotaWindowSeconds * 1000;
        this.handoffEndsAtMs = isHandoff ? fleet.membershipChangedAtMs + handoffMs : undefined;
    }

    /** True when no reported usage counts any more and the owner may be deleted. */
    isIdle(nowMs: number): boolean {
        return nowMs - this.lastReportAtMs > (quotaWindowSeconds + 1) * 1000;
    }

    /** Records a report and issues a new loan, which replaces the VM's earlier one. */
    lend(vm: string, report: QuotaReport, limits: QuotaLimits, fleet: FleetSnapshot, nowMs: number): QuotaLoan {
        this.lastReportAtMs = nowMs;
        const borrower = this.recordReport(vm, report, nowMs);
        this.endHandoffIfDue(limits, nowMs);
        const memberShare = fleet.memberCount / Math.max(fleet.memberCount, fleet.possiblyAliveCount);
        const committedRequests = this.sumCommitted("requests", fleet, nowMs);
        const committedTokens = this.sumCommitted("tokens", fleet, nowMs);
        const freeRequests = computeFreeAmount(limits.requests, memberShare, committedRequests);
        const freeTokens = computeFreeAmount(limits.tokens, memberShare, committedTokens);
        const tokensPerRequest = report.wantedTokens / Math.max(1, report.wantedRequests);
        const loan: QuotaLoan = {
            requests: Math.floor(this.computeLoanAmount(report.wantedRequests, freeRequests, limits.requests, 1, nowMs)),
            tokens: this.computeLoanAmount(report.wantedTokens, freeTokens, limits.tokens, tokensPerRequest, nowMs),
            concurrent: this.computeConcurrentLoan(vm, report, limits, memberShare, fleet, nowMs),
            validMs: loanValidMs,
            fleetUsedRequests: committedRequests.total / limits.requests,
            fleetUsedTokens: committedTokens.total / limits.tokens,
        };
        borrower.loan = loan;
        borrower.loanExpiresAtMs = nowMs + loanValidMs;
        return loan;
    }

    /**
     * Amount to lend to one VM, never more than wanted or free. It is capped at `freeAmount` divided by the number of active borrowers,
     * or during a handoff at a small fraction of the limit; a cap below `minAmount` is raised to it.
     */
    private computeLoanAmount(wantedAmount: number, freeAmount: number, limit: number, minAmount: number, nowMs: number): number {
        if (freeAmount === Infinity) {
            return wantedAmount;
        }
        const maxAmount = this.handoffEndsAtMs === undefined ? freeAmount / this.countActiveBorrowers(nowMs) : limit * handoffLimitShare;
        return Math.min(wantedAmount, freeAmount, Math.max(minAmount, maxAmount));
    }

    private countActiveBorrowers(nowMs: number): number {
        let count = 0;
        for (const borrower of this.borrowers.values()) {
            count += nowMs - borrower.lastWantedAtMs < activeBorrowerMs ? 1 : 0;
        }
        return Math.max(1, count);
    }

    private recordReport(vm: string, report: QuotaReport, nowMs: number): Borrower {
        let borrower = this.borrowers.get(vm);
        const isRestarted = borrower !== undefined && report.usedRequests < borrower.usedRequests;
        if (borrower === undefined) {
            borrower = createBorrower(nowMs, report);
            this.borrowers.set(vm, borrower);
            this.recordHistory(borrower, report, nowMs);
        }
        const requests = report.usedRequests - (isRestarted ? 0 : borrower.usedRequests);
        const tokens = report.usedTokens - (isRestarted ? 0 : borrower.usedTokens);
        borrower.requests.add(requests, nowMs);
        borrower.tokens.add(tokens, nowMs);
        borrower.usedRequests = report.usedRequests;
        borrower.usedTokens = report.usedTokens;
        borrower.inFlight = report.inFlight;
        borrower.lastWantedAtMs = report.wantedRequests > 0 ? nowMs : borrower.lastWantedAtMs;
        borrower.loanExpiresAtMs = -Infinity;
        return borrower;
    }

    private recordHistory(borrower: Borrower, report: QuotaReport, nowMs: number): void {
        if (report.history === undefined) {
            return;
        }
        report.history.requests.forEach((amount, age) => {
            borrower.requests.add(amount, nowMs, age);
        });
        report.history.tokens.forEach((amount, age) => {
            borrower.tokens.add(amount, nowMs, age);
        });
        this.fleetUsedRequestShare = Math.max(this.fleetUsedRequestShare, report.history.fleetUsedRequests);
        this.fleetUsedTokenShare = Math.max(this.fleetUsedTokenShare, report.history.fleetUsedTokens);
    }

    /** At the end of a handoff, spreads the usage that the former owner had counted beyond the reported usage evenly over the last minute. */
    private endHandoffIfDue(limits: QuotaLimits, nowMs: number): void {
        if (this.handoffEndsAtMs === undefined || nowMs < this.handoffEndsAtMs) {
            return;
        }
        this.handoffEndsAtMs = undefined;
        const missingRequests = computeMissingAmount(limits.requests, this.fleetUsedRequestShare, this.sumReported("requests", nowMs));
        const missingTokens = computeMissingAmount(limits.tokens, this.fleetUsedTokenShare, this.sumReported("tokens", nowMs));
        for (let age = 0; age < quotaWindowSeconds; age++) {
            this.assumedRequests.add(missingRequests / quotaWindowSeconds, nowMs, age);
            this.assumedTokens.add(missingTokens / quotaWindowSeconds, nowMs, age);
        }
    }

    private sumReported(kind: "requests" | "tokens", nowMs: number): number {
        let sum = 0;
        for (const borrower of this.borrowers.values()) {
            sum += borrower[kind].sum(nowMs);
        }
        return sum;
    }

    /** Sums reported usage and outstanding loans, for members and in total; the total includes the usage assumed after a handoff. */
    private sumCommitted(
        kind: "requests" | "tokens",
        fleet: FleetSnapshot,
        nowMs: number,
    ): { readonly members: number; readonly total: number; } {
        const assumed = (kind === "requests" ? this.assumedRequests : this.assumedTokens).sum(nowMs);
        let members = 0;
        let total = assumed;
        for (const [vm, borrower] of this.borrowers) {
            const amount = borrower[kind].sum(nowMs) + (borrower.loanExpiresAtMs > nowMs ? borrower.loan[kind] : 0);
            total += amount;
            members += fleet.isMember(vm) ? amount : 0;
        }
        return { members, total };
    }

    private computeConcurrentLoan(
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
        let reserved = 0;
        for (const [otherVm, borrower] of this.borrowers) {
            if (otherVm !== vm && fleet.isMember(otherVm)) {
                reserved += Math.max(borrower.inFlight, borrower.loanExpiresAtMs > nowMs ? borrower.loan.concurrent : 0);
            }
        }
        const memberLimit = Math.max(1, Math.floor(limits.concurrent * memberShare));
        return Math.max(0, Math.min(report.wantedConcurrent, memberLimit - reserved));
    }
}

function createBorrower(nowMs: number, report: QuotaReport): Borrower {
    return {
        requests: new SlidingWindow(nowMs),
        tokens: new SlidingWindow(nowMs),
        // Earlier usage is in the report's history, or older than the window.
        usedRequests: report.usedRequests,
        usedTokens: report.usedTokens,
        inFlight: 0,
        loan: { requests: 0, tokens: 0, concurrent: 0, validMs: 0, fleetUsedRequests: 0, fleetUsedTokens: 0 },
        loanExpiresAtMs: -Infinity,
        lastWantedAtMs: -Infinity,
    };
}

function computeFreeAmount(limit: number, memberShare: number, committed: { readonly members: number; readonly total: number; }): number {
    return Math.max(0, Math.min(limit * memberShare - committed.members, limit - committed.total));
}

function computeMissingAmount(limit: number, fleetUsedShare: number, reported: number): number {
    return limit === Infinity ? 0 : Math.max(0, Math.min(1, fleetUsedShare) * limit - reported);
}
