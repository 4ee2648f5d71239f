import type { DutyLeaseRecord } from "../../schema/duties/DutyLeaseRecord.js";
import { computeFencingNumber } from "./computeFencingNumber.js";
import { dutyLeaseTiming } from "./dutyLeaseTiming.js";

type Purpose = "acquire" | "renew" | "release";

type Step =
    | { readonly kind: "wait"; readonly delayMs: number; }
    | { readonly kind: "read"; }
    | { readonly kind: "append"; readonly purpose: Purpose; };

interface Times {
    /** Monotonic time; stands still while the machine is suspended. */
    readonly nowMs: number;
    readonly wallMs: number;
}

interface SentAppend {
    readonly purpose: Purpose;
    readonly record: DutyLeaseRecord;
    readonly atOffset: number;
    readonly sent: Times;
}

interface OwnLease {
    readonly nonce: string;
    readonly fencingNumber: number;
    readonly sent: Times;
    /** False after an event that puts the lease in doubt, until a conditional append has succeeded. */
    isConfirmed: boolean;
}

interface TopicView {
    readonly endOffset: number;
    /** Undefined before the first acquisition. */
    readonly lease: Pick<DutyLeaseRecord, "nonce" | "isReleased"> | undefined;
    /** Time from which the lease record has been seen unchanged. */
    readonly unchangedSinceMs: number;
}

interface DutyLeaseStateOptions {
    readonly vm: string;
    readonly incarnation: string;
    readonly leaseMs: number;
}

const { marginMs, maxDriftMs, pollIntervalMs, retryDelayMs, rankCheckIntervalMs } = dutyLeaseTiming;

/**
 * Decides when a VM reads, acquires and renews the lease on the fleet's duties, and until when it may act on it. The caller carries out
 * one step at a time and reports its result.
 */
export class DutyLeaseState {
    private readonly takeoverWaitMs: number;
    private own: OwnLease | undefined;
    private view: TopicView | undefined;
    private epoch: number | undefined;
    private epochSeenMs = -Infinity;
    private hasEpochChanged = false;
    private newEpochSeenMs: number | undefined;
    /** Whether this VM held the lease when the epoch changed and no other VM has acquired it since. */
    private isIncumbent = false;
    private mustRead = true;
    private lastReadMs = -Infinity;
    private retryAtMs = -Infinity;
    /** When the next append may follow one that got no reply, and how many in a row have got none. */
    private appendRetryAtMs = -Infinity;
    private appendFailures = 0;
    private lastHeldMs = -Infinity;
    /** Appends without a reply. Each may still be carried out while the log ends at its offset. */
    private unanswered: SentAppend[] = [];

    constructor(private readonly options: DutyLeaseStateOptions) {
        this.takeoverWaitMs = options.leaseMs + marginMs;
    }

    /** Whether this VM may act on the lease now. */
    isHeld({ nowMs, wallMs }: Times): boolean {
        if (this.own === undefined) {
            return false;
        }
        const { sent } = this.own;
        const driftMs = Math.abs(wallMs - sent.wallMs - (nowMs - sent.nowMs));
        // The doubt stays until the next append, as a second step of the wall clock could hide the drift.
        this.own.isConfirmed &&= driftMs <= maxDriftMs && nowMs < this.deadlineMs;
        if (this.own.isConfirmed) {
            this.lastHeldMs = nowMs;
        }
        return this.own.isConfirmed;
    }

    getRemainingMs(times: Times): number {
        return this.isHeld(times) ? this.deadlineMs - times.nowMs : 0;
    }

    get fencingNumber(): number | undefined {
        return this.own?.fencingNumber;
    }

    /** Whether the newest lease record is, as far as this VM knows, its own. */
    get isOwner(): boolean {
        return this.own !== undefined;
    }

    /** Whether the record with this nonce is the newest one of the lease, and this VM's. */
    isCurrent(nonce: string): boolean {
        return this.own?.nonce === nonce && !this.mustRead;
    }

    /** Whether the topic has to be read before the next append. */
    get isReadNeeded(): boolean {
        return this.mustRead || this.view === undefined;
    }

    /** Upper bound of the time at which the fleet first saw the present epoch; undefined if it has seen no other one. */
    get firstSeenEpochMs(): number | undefined {
        return this.newEpochSeenMs;
    }

    /** The next step of a VM of the zero-based `rank` for the duties. */
    getStep(times: Times, rank: number): Step {
        const { nowMs } = times;
        if (this.own !== undefined) {
            if (this.isReadNeeded) {
                return createStep({ kind: "read" }, this.retryAtMs, nowMs);
            }
            const renewalDueMs = this.isHeld(times) ? this.own.sent.nowMs + this.options.leaseMs / 3 : nowMs;
            return createStep({ kind: "append", purpose: "renew" }, Math.max(renewalDueMs, this.retryAtMs, this.appendRetryAtMs), nowMs);
        }
        if (rank > 1 && !this.isIncumbent) {
            return { kind: "wait", delayMs: rankCheckIntervalMs };
        }
        const readDueMs = this.lastReadMs + pollIntervalMs;
        if (this.view === undefined || this.mustRead || nowMs >= readDueMs) {
            return createStep({ kind: "read" }, Math.max(readDueMs, this.retryAtMs), nowMs);
        }
        const acquireDueMs = Math.max(this.getAcquireDueMs(this.view, rank), this.appendRetryAtMs);
        return acquireDueMs < readDueMs
            ? createStep({ kind: "append", purpose: "acquire" }, acquireDueMs, nowMs)
            : createStep({ kind: "read" }, readDueMs, nowMs);
    }

    /** Registers an append that is about to be sent; undefined if the log has to be read first, or allows no further fencing number. */
    beginAppend(
        purpose: Purpose,
        nonce: string,
        sent: Times,
    ): { readonly record: DutyLeaseRecord; readonly atOffset: number; } | undefined {
        const { epoch, view, newEpochSeenMs } = this;
        if (this.isReadNeeded || view === undefined || epoch === undefined) {
            return undefined;
        }
        const fencingNumber = purpose === "acquire" ? computeFencingNumber(epoch, view.endOffset) : this.own?.fencingNumber;
        if (fencingNumber === undefined) {
            return undefined;
        }
        const record: DutyLeaseRecord = {
            holder: this.options.vm,
            incarnation: this.options.incarnation,
            nonce,
            epoch,
            ...(newEpochSeenMs === undefined ? {} : { epochAgeMs: Math.max(0, sent.nowMs - newEpochSeenMs) }),
            fencingNumber,
            isReleased: purpose === "release",
        };
        this.unanswered.push({ purpose, record, atOffset: view.endOffset, sent });
        return { record, atOffset: view.endOffset };
    }

    /** Applies the reply to an append that was carried out; returns whether it counts. */
    applyAppended(nonce: string, reply: { readonly epoch: number; readonly endOffset: number; }, nowMs: number): boolean {
        const append = this.takeUnanswered(nonce);
        // A restore between read and append may leave the log ending at the same offset, while the holder before it still acts.
        if (!this.noteEpoch(reply.epoch, nowMs) || append === undefined || append.record.epoch !== reply.epoch) {
            this.mustRead = true;
            return false;
        }
        this.view = { endOffset: reply.endOffset, lease: append.record, unchangedSinceMs: nowMs };
        this.unanswered = [];
        this.confirm(append);
        return true;
    }

    /** Applies the reply to an append that was refused, as the log ended at another offset. */
    applyConflict(nonce: string, epoch: number, nowMs: number): void {
        this.takeUnanswered(nonce);
        this.noteEpoch(epoch, nowMs);
        if (this.own !== undefined) {
            this.own.isConfirmed = false;
        }
        this.mustRead = true;
    }

    /** Records that an append got no reply, or was rejected: it is read back before the next one, which comes ever later. */
    applyNoReply(nowMs: number): void {
        this.mustRead = true;
        this.appendRetryAtMs = nowMs + Math.min(pollIntervalMs, retryDelayMs * 2 ** this.appendFailures);
        this.appendFailures++;
    }

    applyReadFailure(nowMs: number): void {
        this.lastReadMs = nowMs;
        this.retryAtMs = nowMs + (this.own?.isConfirmed === true ? retryDelayMs : pollIntervalMs);
        this.mustRead = true;
    }

    /** Applies the newest records of the topic. */
    applyRead(
        read: { readonly epoch: number; readonly endOffset: number; readonly lease: DutyLeaseRecord | undefined; },
        nowMs: number,
    ): void {
        const { lease, endOffset } = read;
        if (!this.noteEpoch(read.epoch, nowMs)) {
            this.applyReadFailure(nowMs);
            return;
        }
        this.lastReadMs = nowMs;
        this.mustRead = false;
        const isUnchanged = this.view !== undefined && this.view.lease?.nonce === lease?.nonce;
        const unchangedSinceMs = isUnchanged ? this.view?.unchangedSinceMs ?? nowMs : nowMs;
        this.view = { endOffset, lease, unchangedSinceMs };
        this.learnEpochAge(lease, read.epoch, nowMs);
        const landed = this.unanswered.find(append => append.record.nonce === lease?.nonce);
        this.unanswered = this.unanswered.filter(append => append.atOffset >= endOffset);
        if (landed !== undefined) {
            this.confirm(landed);
        }
        else if (this.own !== undefined && this.own.nonce !== lease?.nonce) {
            this.own = undefined;
        }
        if (lease !== undefined && lease.epoch === read.epoch && lease.holder !== this.options.vm) {
            this.isIncumbent = false;
        }
    }

    private get deadlineMs(): number {
        return this.own === undefined ? -Infinity : this.own.sent.nowMs + this.options.leaseMs - marginMs;
    }

    private getAcquireDueMs(view: TopicView, rank: number): number {
        const { takeoverWaitMs } = this;
        const isFree = view.lease === undefined || view.lease.isReleased;
        // The previous holder of a changed epoch goes first: it knows best what it has done, and the fencing number changes only once.
        const isBehindIncumbent = this.hasEpochChanged && !this.isIncumbent;
        const dueMs = Math.max(
            view.unchangedSinceMs + (isFree ? 0 : takeoverWaitMs),
            this.lastHeldMs + takeoverWaitMs,
            // Covers the wait after a start too, as a VM first sees an epoch with its first read.
            this.epochSeenMs + takeoverWaitMs + (isBehindIncumbent ? pollIntervalMs : 0),
        );
        return dueMs + (rank > 0 && !this.isIncumbent ? pollIntervalMs : 0);
    }

    private confirm({ purpose, record, sent }: SentAppend): void {
        this.isIncumbent = false;
        this.appendFailures = 0;
        this.appendRetryAtMs = -Infinity;
        this.own = purpose === "release"
            ? undefined
            : { nonce: record.nonce, fencingNumber: record.fencingNumber, sent, isConfirmed: true };
    }

    private takeUnanswered(nonce: string): SentAppend | undefined {
        const append = this.unanswered.find(({ record }) => record.nonce === nonce);
        this.unanswered = this.unanswered.filter(other => other !== append);
        return append;
    }

    /** Gives up all that depends on the log when its epoch is new; returns false for a reply of an earlier epoch. */
    private noteEpoch(epoch: number, nowMs: number): boolean {
        if (this.epoch !== undefined && epoch <= this.epoch) {
            return epoch === this.epoch;
        }
        this.hasEpochChanged = this.epoch !== undefined;
        this.newEpochSeenMs = this.hasEpochChanged ? nowMs : undefined;
        this.isIncumbent ||= this.own !== undefined;
        this.epoch = epoch;
        this.epochSeenMs = nowMs;
        this.own = undefined;
        this.view = undefined;
        this.unanswered = [];
        this.mustRead = true;
        return true;
    }

    /** Takes over when the fleet first saw this epoch. A later time than the true one is safe, so that of an unsettled epoch is now. */
    private learnEpochAge(lease: DutyLeaseRecord | undefined, epoch: number, nowMs: number): void {
        const isSettled = lease === undefined ? epoch === 0 : lease.epoch === epoch;
        if (!isSettled) {
            this.newEpochSeenMs ??= nowMs;
        }
        else if (lease?.epochAgeMs !== undefined) {
            this.newEpochSeenMs = Math.min(this.newEpochSeenMs ?? Infinity, nowMs - lease.epochAgeMs);
        }
    }
}

function createStep(step: Step, dueMs: number, nowMs: number): Step {
    return nowMs >= dueMs ? step : { kind: "wait", delayMs: dueMs - nowMs };
}
