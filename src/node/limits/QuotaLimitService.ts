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

const tickMs = 50;
const answerTimeoutMs = 300;
/** An answer that was on its way before the request came may not cover it; the next one does. */
const maxAcquireRounds = 3;

const refusalKinds = {
    requests: "requests-per-minute",
    tokens: "tokens-per-minute",
    concurrent: "concurrent-requests",
} as const;

interface Account {
    readonly quota: QuotaAccount;
    limits: QuotaLimits;
    /** Settles when the report on its way is answered or lost. */
    answered: Promise<void>;
}

interface QuotaLimitServiceOptions {
    readonly vm: string;
    readonly membership: FleetMembership;
    readonly links: PeerLinks;
    readonly scheduler: Scheduler;
    /** The customer as configured on this VM. */
    readonly customerOf: (name: string) => Customer | undefined;
}

/**
 * Customer limits over the fleet: each customer has one VM as its quota owner, which lends to the others ahead of use. A customer that
 * sends nothing costs no messages.
 */
export class QuotaLimitService implements LimitService {
    private readonly accounts = new Map<string, Account>();
    private readonly owners = new Map<string, QuotaOwner>();
    private members = new Set<string>();
    private candidates: readonly string[] = [];
    private incarnations = new Map<string, string>();
    private changedAtMs: number;
    private signal: AbortSignal = AbortSignal.abort();

    constructor(private readonly options: QuotaLimitServiceOptions) {
        this.changedAtMs = options.scheduler.nowMs();
        this.noteMembers();
    }

    /** Borrows and lends until `signal` aborts. */
    start(signal: AbortSignal): void {
        this.signal = signal;
        const { links, membership, scheduler } = this.options;
        links.onMessage("quotaBorrow", (from, { customer, report }) => {
            const loan = this.lend(from, customer, report);
            return loan === undefined ? undefined : { type: "quotaLend", customer, loan };
        }, signal);
        membership.onChange(() => {
            this.noteMembers();
        }, signal);
        scheduler.every(tickMs, () => {
            this.tick();
        }, signal);
    }

    /** Decides at once. A customer that this VM has not asked its owner about yet is let through within a small part of the even share. */
    admit(customer: Customer, estimatedTokens: number): Result<Admission, LimitRefusal> {
        const limits = getQuotaLimits(customer);
        if (limits === undefined) {
            return ok({ end: () => undefined });
        }
        const account = this.accountOf(customer.name, limits);
        const nowMs = this.options.scheduler.nowMs();
        const decision = account.quota.admit(limits, estimatedTokens, this.evenShare(), nowMs);
        this.reportIfDue(customer.name, account);
        if (decision.kind !== "undecided") {
            return this.toResult(decision, account, estimatedTokens);
        }
        // The owner may be this VM, which has answered by now.
        const again = account.quota.admit(limits, estimatedTokens, this.evenShare(), nowMs, false);
        const final = again.kind === "undecided"
            ? account.quota.admitBeforeFirstLoan(limits, estimatedTokens, this.evenShare(), nowMs)
            : again;
        return this.toResult(final, account, estimatedTokens);
    }

    /** Like `admit`, but waits for the owner's answer where it is needed: at most about a round trip to another VM. */
    acquire(customer: Customer, estimatedTokens: number): ResultAsync<Admission, LimitRefusal> {
        const limits = getQuotaLimits(customer);
        if (limits === undefined) {
            return ResultAsync.fromSafePromise(Promise.resolve({ end: () => undefined }));
        }
        return new ResultAsync(this.acquireLimited(customer, limits, estimatedTokens));
    }

    private async acquireLimited(customer: Customer, limits: QuotaLimits, tokens: number): Promise<Result<Admission, LimitRefusal>> {
        const account = this.accountOf(customer.name, limits);
        for (let round = 0; round < maxAcquireRounds; round++) {
            const decision = account.quota.admit(limits, tokens, this.evenShare(), this.options.scheduler.nowMs(), round === 0);
            if (decision.kind !== "undecided") {
                this.reportIfDue(customer.name, account);
                return this.toResult(decision, account, tokens);
            }
            if (!account.quota.isReportInFlight) {
                this.report(customer.name, account);
            }
            await account.answered;
        }
        return this.admit(customer, tokens);
    }

    private toResult(decision: QuotaDecision, account: Account, estimatedTokens: number): Result<Admission, LimitRefusal> {
        if (decision.kind === "admitted") {
            return ok(this.newAdmission(account, estimatedTokens));
        }
        if (decision.kind === "refused") {
            return err({ kind: refusalKinds[decision.exhaustedLimit], retryAfterMs: decision.retryAfterMs });
        }
        return err({ kind: "requests-per-minute", retryAfterMs: answerTimeoutMs });
    }

    private newAdmission(account: Account, estimatedTokens: number): Admission {
        let hasEnded = false;
        return {
            end: actualTokens => {
                if (!hasEnded) {
                    hasEnded = true;
                    account.quota.end(account.limits, estimatedTokens, actualTokens, this.options.scheduler.nowMs());
                }
            },
        };
    }

    private accountOf(customer: string, limits: QuotaLimits): Account {
        let account = this.accounts.get(customer);
        if (account === undefined) {
            account = { quota: new QuotaAccount(this.options.scheduler.nowMs()), limits, answered: Promise.resolve() };
            account.quota.setOwner(this.ownerKeyOf(customer));
            this.accounts.set(customer, account);
        }
        account.limits = limits;
        return account;
    }

    private evenShare(): number {
        return 1 / Math.max(1, this.members.size, this.options.membership.possiblyAliveCount);
    }

    private ownerOf(customer: string): string {
        return selectByRendezvousHash(`quota ${customer}`, this.candidates) ?? this.options.vm;
    }

    /** Names the owner and its incarnation, so that one that restarted is told the history again. */
    private ownerKeyOf(customer: string): string {
        const owner = this.ownerOf(customer);
        return `${owner} ${this.incarnations.get(owner) ?? ""}`;
    }

    private noteMembers(): void {
        const { members } = this.options.membership;
        const incarnations = new Map(members.map(member => [member.vm, member.incarnation]));
        const candidates = members.filter(member => member.state === "ready").map(member => member.vm);
        const isSame = incarnations.size === this.incarnations.size
            && [...incarnations].every(([vm, incarnation]) => this.incarnations.get(vm) === incarnation)
            && candidates.join(" ") === this.candidates.join(" ");
        if (isSame) {
            return;
        }
        this.incarnations = incarnations;
        this.members = new Set(incarnations.keys());
        this.candidates = candidates;
        this.changedAtMs = this.options.scheduler.nowMs();
        for (const customer of this.owners.keys()) {
            if (this.ownerOf(customer) !== this.options.vm) {
                this.owners.delete(customer);
            }
        }
        for (const [customer, account] of this.accounts) {
            account.quota.setOwner(this.ownerKeyOf(customer));
        }
    }

    private tick(): void {
        const nowMs = this.options.scheduler.nowMs();
        for (const [customer, account] of this.accounts) {
            this.reportIfDue(customer, account);
            if (account.quota.isIdle(nowMs)) {
                this.accounts.delete(customer);
            }
        }
        for (const [customer, owner] of this.owners) {
            if (owner.isIdle(nowMs)) {
                this.owners.delete(customer);
            }
        }
    }

    private reportIfDue(customer: string, account: Account): void {
        if (account.quota.isReportDue(account.limits, this.options.scheduler.nowMs())) {
            this.report(customer, account);
        }
    }

    private report(customer: string, account: Account): void {
        if (this.signal.aborted) {
            return;
        }
        const nowMs = this.options.scheduler.nowMs();
        const report = account.quota.buildReport(account.limits, nowMs);
        const owner = this.ownerOf(customer);
        if (owner !== this.options.vm) {
            account.answered = this.sendReport(owner, customer, account, report);
            return;
        }
        const loan = this.lend(this.options.vm, customer, report);
        if (loan === undefined) {
            account.quota.handleReportLoss();
        }
        else {
            account.quota.acceptLoan(loan, nowMs);
        }
    }

    private async sendReport(owner: string, customer: string, account: Account, report: QuotaReport): Promise<void> {
        const message = { type: "quotaBorrow", customer, report } as const;
        const answer = await this.options.links.request(owner, message, answerTimeoutMs, this.signal);
        if (answer.isOk() && answer.value.type === "quotaLend") {
            account.quota.acceptLoan(answer.value.loan, this.options.scheduler.nowMs());
        }
        else {
            account.quota.handleReportLoss();
        }
    }

    /** Undefined when this VM is not the owner, or does not know the customer. */
    private lend(borrower: string, name: string, report: QuotaReport): QuotaLoan | undefined {
        const customer = this.options.customerOf(name);
        const limits = customer === undefined ? undefined : getQuotaLimits(customer);
        if (limits === undefined || this.ownerOf(name) !== this.options.vm) {
            return undefined;
        }
        const nowMs = this.options.scheduler.nowMs();
        const fleet = this.fleetShare();
        let owner = this.owners.get(name);
        if (owner === undefined) {
            owner = new QuotaOwner(nowMs, fleet);
            this.owners.set(name, owner);
        }
        return owner.lend(borrower, report, limits, fleet, nowMs);
    }

    private fleetShare(): FleetSnapshot {
        return {
            memberCount: Math.max(1, this.members.size),
            possiblyAliveCount: this.options.membership.possiblyAliveCount,
            isMember: vm => this.members.has(vm),
            membershipChangedAtMs: this.changedAtMs,
        };
    }
}
