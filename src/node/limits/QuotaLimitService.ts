import { err, ok, type Result, ResultAsync } from "neverthrow";
import type { FleetSnapshot } from "../../core/limits/FleetSnapshot.js";
import { getQuotaLimits } from "../../core/limits/getQuotaLimits.js";
import { QuotaAccount } from "../../core/limits/QuotaAccount.js";
import type { QuotaDecision } from "../../core/limits/QuotaDecision.js";
import type { QuotaLimits } from "../../core/limits/QuotaLimits.js";
import { QuotaOwner } from "../../core/limits/QuotaOwner.js";
import type { Scheduler } from "../../core/util/Scheduler.js";
import { selectByRendezvousHash } from "../../core/util/selectByRendezvousHash.js";
import type { Customer } from "../../schema/config/Customer.js";
import type { QuotaLoan } from "../../schema/peer/QuotaLoan.js";
import type { QuotaReport } from "../../schema/peer/QuotaReport.js";
import type { Admission } from "../services/Admission.js";
import type { LimitRefusal } from "../services/LimitRefusal.js";
import type { LimitService } from "../services/LimitService.js";
import type { PeerLinks } from "../services/PeerLinks.js";
import type { FleetMembership } from "./FleetMembership.js";

const tickIntervalMs = 50;
const replyTimeoutMs = 300;
/** A loan that was already in flight when a request arrived may not cover that request; the next loan does. */
const maxAcquireAttempts = 3;

const refusalKinds = {
    requests: "requests-per-minute",
    tokens: "tokens-per-minute",
    concurrent: "concurrent-requests",
} as const;

interface Account {
    readonly quota: QuotaAccount;
    limits: QuotaLimits;
    /** Settles when the in-flight report gets a reply or is lost. */
    reportSettled: Promise<void>;
}

interface QuotaLimitServiceOptions {
    readonly vm: string;
    readonly membership: FleetMembership;
    readonly links: PeerLinks;
    readonly scheduler: Scheduler;
    /** The customer as configured on this VM. */
    readonly findCustomer: (name: string) => Customer | undefined;
}

/**
 * Enforces customer limits over the whole fleet. Each customer has one VM as its quota owner, which lends quota to the other VMs ahead of
 * use. A customer without traffic causes no messages.
 */
export class QuotaLimitService implements LimitService {
    private readonly accounts = new Map<string, Account>();
    private readonly owners = new Map<string, QuotaOwner>();
    private members = new Set<string>();
    private ownerCandidates: readonly string[] = [];
    private incarnations = new Map<string, string>();
    private membershipChangedAtMs: number;
    private signal: AbortSignal = AbortSignal.abort();

    constructor(private readonly options: QuotaLimitServiceOptions) {
        this.membershipChangedAtMs = options.scheduler.nowMs();
        this.updateMembers();
    }

    /** Borrows and lends quota until `signal` aborts. */
    start(signal: AbortSignal): void {
        this.signal = signal;
        const { links, membership, scheduler } = this.options;
        links.onMessage("quotaBorrow", (from, { customer, report }) => {
            const loan = this.lend(from, customer, report);
            return loan === undefined ? undefined : { type: "quotaLend", customer, loan };
        }, signal);
        membership.onChange(() => {
            this.updateMembers();
        }, signal);
        scheduler.every(tickIntervalMs, () => {
            this.tick();
        }, signal);
    }

    /**
     * Decides without waiting. Until this VM has received its first loan from the customer's quota owner, it admits requests only within
     * a small part of its even share.
     */
    admit(customer: Customer, estimatedTokens: number): Result<Admission, LimitRefusal> {
        const limits = getQuotaLimits(customer);
        if (limits === undefined) {
            return ok({ end: () => undefined });
        }
        const account = this.getOrCreateAccount(customer.name, limits);
        const nowMs = this.options.scheduler.nowMs();
        const decision = account.quota.admit(limits, estimatedTokens, this.getEvenShare(), nowMs);
        this.reportIfDue(customer.name, account);
        if (decision.kind !== "undecided") {
            return this.toResult(decision, account, estimatedTokens);
        }
        // If this VM is the owner, the report has been answered with a loan by now.
        const secondDecision = account.quota.admit(limits, estimatedTokens, this.getEvenShare(), nowMs, false);
        const finalDecision = secondDecision.kind === "undecided"
            ? account.quota.admitBeforeFirstLoan(limits, estimatedTokens, this.getEvenShare(), nowMs)
            : secondDecision;
        return this.toResult(finalDecision, account, estimatedTokens);
    }

    /** Like `admit`, but waits for the owner's reply where needed: usually one round trip, at most `maxAcquireAttempts` replies. */
    acquire(customer: Customer, estimatedTokens: number): ResultAsync<Admission, LimitRefusal> {
        const limits = getQuotaLimits(customer);
        if (limits === undefined) {
            return ResultAsync.fromSafePromise(Promise.resolve({ end: () => undefined }));
        }
        return new ResultAsync(this.acquireLimited(customer, limits, estimatedTokens));
    }

    private async acquireLimited(customer: Customer, limits: QuotaLimits, tokens: number): Promise<Result<Admission, LimitRefusal>> {
        const account = this.getOrCreateAccount(customer.name, limits);
        for (let attempt = 0; attempt < maxAcquireAttempts; attempt++) {
            const decision = account.quota.admit(limits, tokens, this.getEvenShare(), this.options.scheduler.nowMs(), attempt === 0);
            if (decision.kind !== "undecided") {
                this.reportIfDue(customer.name, account);
                return this.toResult(decision, account, tokens);
            }
            if (!account.quota.isReportInFlight) {
                this.report(customer.name, account);
            }
            await account.reportSettled;
        }
        return this.admit(customer, tokens);
    }

    private toResult(decision: QuotaDecision, account: Account, estimatedTokens: number): Result<Admission, LimitRefusal> {
        if (decision.kind === "admitted") {
            return ok(this.createAdmission(account, estimatedTokens));
        }
        if (decision.kind === "refused") {
            return err({ kind: refusalKinds[decision.exhaustedLimit], retryAfterMs: decision.retryAfterMs });
        }
        return err({ kind: "requests-per-minute", retryAfterMs: replyTimeoutMs });
    }

    private createAdmission(account: Account, estimatedTokens: number): Admission {
        let hasEnded = false;
        return {
            end: actualTokens => {
                if (!hasEnded) {
                    hasEnded = true;
                    account.quota.recordEnd(account.limits, estimatedTokens, actualTokens, this.options.scheduler.nowMs());
                }
            },
        };
    }

    private getOrCreateAccount(customerName: string, limits: QuotaLimits): Account {
        let account = this.accounts.get(customerName);
        if (account === undefined) {
            account = { quota: new QuotaAccount(this.options.scheduler.nowMs()), limits, reportSettled: Promise.resolve() };
            account.quota.setOwner(this.buildOwnerKey(customerName));
            this.accounts.set(customerName, account);
        }
        account.limits = limits;
        return account;
    }

    /** Share of a limit that each VM has if it is divided evenly among all VMs that may be alive, in (0, 1]. */
    private getEvenShare(): number {
        return 1 / Math.max(1, this.members.size, this.options.membership.possiblyAliveCount);
    }

    private selectOwnerVm(customerName: string): string {
        return selectByRendezvousHash(`quota ${customerName}`, this.ownerCandidates) ?? this.options.vm;
    }

    /** Includes the incarnation of the owner, so that a restarted owner is sent the usage history again. */
    private buildOwnerKey(customerName: string): string {
        const ownerVm = this.selectOwnerVm(customerName);
        return `${ownerVm} ${this.incarnations.get(ownerVm) ?? ""}`;
    }

    private updateMembers(): void {
        const { members } = this.options.membership;
        const incarnations = new Map(members.map(member => [member.vm, member.incarnation]));
        const ownerCandidates = members.filter(member => member.state === "ready").map(member => member.vm);
        const isUnchanged = incarnations.size === this.incarnations.size
            && [...incarnations].every(([vm, incarnation]) => this.incarnations.get(vm) === incarnation)
            && ownerCandidates.join(" ") === this.ownerCandidates.join(" ");
        if (isUnchanged) {
            return;
        }
        this.incarnations = incarnations;
        this.members = new Set(incarnations.keys());
        this.ownerCandidates = ownerCandidates;
        this.membershipChangedAtMs = this.options.scheduler.nowMs();
        for (const customerName of this.owners.keys()) {
            if (this.selectOwnerVm(customerName) !== this.options.vm) {
                this.owners.delete(customerName);
            }
        }
        for (const [customerName, account] of this.accounts) {
            account.quota.setOwner(this.buildOwnerKey(customerName));
        }
    }

    private tick(): void {
        const nowMs = this.options.scheduler.nowMs();
        for (const [customerName, account] of this.accounts) {
            this.reportIfDue(customerName, account);
            if (account.quota.isIdle(nowMs)) {
                this.accounts.delete(customerName);
            }
        }
        for (const [customerName, owner] of this.owners) {
            if (owner.isIdle(nowMs)) {
                this.owners.delete(customerName);
            }
        }
    }

    private reportIfDue(customerName: string, account: Account): void {
        if (account.quota.isReportDue(account.limits, this.options.scheduler.nowMs())) {
            this.report(customerName, account);
        }
    }

    private report(customerName: string, account: Account): void {
        if (this.signal.aborted) {
            return;
        }
        const nowMs = this.options.scheduler.nowMs();
        const report = account.quota.buildReport(account.limits, nowMs);
        const ownerVm = this.selectOwnerVm(customerName);
        if (ownerVm !== this.options.vm) {
            account.reportSettled = this.sendReport(ownerVm, customerName, account, report);
            return;
        }
        const loan = this.lend(this.options.vm, customerName, report);
        if (loan === undefined) {
            account.quota.handleReportLoss();
        }
        else {
            account.quota.acceptLoan(loan, nowMs);
        }
    }

    private async sendReport(ownerVm: string, customerName: string, account: Account, report: QuotaReport): Promise<void> {
        const message = { type: "quotaBorrow", customer: customerName, report } as const;
        const reply = await this.options.links.request(ownerVm, message, replyTimeoutMs, this.signal);
        if (reply.isOk() && reply.value.type === "quotaLend") {
            account.quota.acceptLoan(reply.value.loan, this.options.scheduler.nowMs());
        }
        else {
            account.quota.handleReportLoss();
        }
    }

    /** Returns undefined when this VM is not the owner, or has no limits configured for the customer. */
    private lend(borrowerVm: string, customerName: string, report: QuotaReport): QuotaLoan | undefined {
        const customer = this.options.findCustomer(customerName);
        const limits = customer === undefined ? undefined : getQuotaLimits(customer);
        if (limits === undefined || this.selectOwnerVm(customerName) !== this.options.vm) {
            return undefined;
        }
        const nowMs = this.options.scheduler.nowMs();
        const fleet = this.getFleetSnapshot();
        let owner = this.owners.get(customerName);
        if (owner === undefined) {
            owner = new QuotaOwner(nowMs, fleet);
            this.owners.set(customerName, owner);
        }
        return owner.lend(borrowerVm, report, limits, fleet, nowMs);
    }

    private getFleetSnapshot(): FleetSnapshot {
        return {
            memberCount: Math.max(1, this.members.size),
            possiblyAliveCount: this.options.membership.possiblyAliveCount,
            isMember: vm => this.members.has(vm),
            membershipChangedAtMs: this.membershipChangedAtMs,
        };
    }
}
