import { err, ok, ResultAsync } from "neverthrow";
import type { Result } from "neverthrow";
import { AppendPacer } from "../../core/booking/AppendPacer.js";
import type { BookingRecord } from "../../core/booking/BookingRecord.js";
import type { ClaimEffect } from "../../core/booking/ClaimEffect.js";
import type { ClaimEntry } from "../../core/booking/ClaimEntry.js";
import type { ClaimOwner } from "../../core/booking/ClaimOwner.js";
import { ClaimTable } from "../../core/booking/ClaimTable.js";
import type { Scheduler } from "../../core/util/Scheduler.js";
import type { BookingSettings } from "../../schema/settings/BookingSettings.js";
import { createLogger } from "../logs/createLogger.js";
import { LogTail } from "../platform/log/LogTail.js";
import type { BookingCall } from "../services/BookingCall.js";
import type { BookingError } from "../services/BookingError.js";
import type { BookingResponse } from "../services/BookingResponse.js";
import type { BookingService } from "../services/BookingService.js";
import type { LogClient } from "../services/LogClient.js";
import type { LogRecord } from "../services/LogRecord.js";
import { bookingErrors } from "./bookingErrors.js";
import { BookingSendError } from "./BookingSendError.js";
import { decodeBookingBatch } from "./decodeBookingBatch.js";
import { encodeBookingBatch } from "./encodeBookingBatch.js";
import { GroupCommit } from "./GroupCommit.js";
import { hashBookingText } from "./hashBookingText.js";
import { KeyWaiters } from "./KeyWaiters.js";
import type { LocalClaim } from "./LocalClaim.js";
import { readRecordedResponse } from "./readRecordedResponse.js";

const log = createLogger("booking");
const maxPollWaitMs = 10_000;
const ownerCheckIntervalMs = 500;
/** A claim's owner counts as failed once it has not been alive for this long. */
const ownerTimeoutMs = 2_000;
/** Longest wait for a claim while the log cannot be read, for a call that may be sent without one. */
const unreadableLogClaimWaitMs = 200;
/** A call may start only before its claim reaches this share of the retention time, well before other VMs evict the key. */
const maxStartAgeRetentionRatio = 0.5;
const maxClaimAttempts = 16;

interface LogBookingServiceOptions {
    readonly log: LogClient;
    readonly scheduler: Scheduler;
    readonly settings: BookingSettings;
    readonly vm: string;
    readonly incarnation: string;
    /** Whether this incarnation of a VM is considered alive. A false negative gives callers the outcome `unknown`, never a second run. */
    readonly isAlive: (vm: string, incarnation: string) => boolean;
}

interface KeyedCall {
    readonly call: BookingCall;
    readonly key: string;
    readonly digest: string;
    readonly send: (mayStart: () => boolean) => Promise<BookingResponse>;
    readonly signal: AbortSignal;
}

type RunResult = Result<BookingResponse, BookingError>;

/**
 * Runs keyed calls at most once, using claims in the platform's log. Only the VM that has read back its own claim as the first
 * one for the key sends the call, and only while that claim is recent. Upstreams that deduplicate by key may get a call without
 * a claim. See docs/design/bookings.md.
 */
export class LogBookingService implements BookingService {
    private readonly table: ClaimTable;
    private readonly waiters: KeyWaiters;
    private readonly pacer: AppendPacer;
    private readonly commit: GroupCommit;
    private readonly claims = new Map<number, LocalClaim>();
    private readonly pendingKeys = new Set<string>();
    private nextNonce = 0;
    private nextOffset = 0;
    private isLogReadable = true;

    constructor(private readonly options: LogBookingServiceOptions) {
        this.table = new ClaimTable(options.settings.retentionMs, options.settings.answerMemoryBytes);
        this.pacer = new AppendPacer(options.vm, options.settings.fleetAppendsPerSecond);
        this.waiters = new KeyWaiters(options.scheduler);
        this.commit = new GroupCommit({
            scheduler: options.scheduler,
            append: (records, signal) => options.log.append(options.settings.stream, this.encode(records), signal),
            intervalMs: () => this.pacer.computeIntervalMs(options.scheduler.nowMs()),
        });
    }

    /** Tails the booking stream until `signal` aborts. */
    async start(signal: AbortSignal): Promise<void> {
        this.commit.start(signal);
        const tail = new LogTail({
            log: this.options.log,
            scheduler: this.options.scheduler,
            stream: this.options.settings.stream,
            maxPollWaitMs,
            nextOffset: () => this.nextOffset,
            onRecords: records => {
                this.isLogReadable = true;
                this.foldRecords(records);
            },
            onTruncated: firstOffset => {
                log("booking stream was truncated; continuing at the first retained offset", { firstOffset });
                this.nextOffset = Math.max(this.nextOffset, firstOffset);
            },
            onError: message => {
                this.isLogReadable = false;
                log("cannot read the booking stream; retrying with backoff", { reason: message });
            },
        });
        await tail.start(signal);
    }

    /** Unfinished claims of this VM plus pending appends; a graceful shutdown waits until it is 0. */
    get unfinishedCount(): number {
        return this.claims.size + this.commit.pendingCount;
    }

    run(
        call: BookingCall,
        send: (mayStart: () => boolean) => Promise<BookingResponse>,
        signal: AbortSignal,
    ): ResultAsync<BookingResponse, BookingError> {
        const key = hashBookingText(call.customer, call.key);
        return new ResultAsync(this.runCall({ call, key, digest: hashBookingText(call.digest), send, signal }));
    }

    private async runCall(keyed: KeyedCall): Promise<RunResult> {
        for (let attempt = 0; attempt < maxClaimAttempts; attempt++) {
            if (keyed.signal.aborted) {
                return err(bookingErrors.cancelled("not-run"));
            }
            const entry = this.table.get(keyed.key);
            const result = entry === undefined ? await this.claimAndSend(keyed) : await this.replayOrJoin(keyed, entry);
            if (result !== undefined) {
                return result;
            }
        }
        return err(bookingErrors.notClaimed("too many attempts to claim the idempotency key; retry the call"));
    }

    /** Claims the key and sends the call if the claim wins; undefined if another claim has won. */
    private async claimAndSend(keyed: KeyedCall): Promise<RunResult | undefined> {
        const { scheduler, settings } = this.options;
        const canSkipClaim = keyed.call.hasUpstreamDeduplication && !this.isLogReadable;
        const deadlineMs = scheduler.nowMs() + Math.min(settings.claimWaitMs, canSkipClaim ? unreadableLogClaimWaitMs : Infinity);
        while (this.pendingKeys.has(keyed.key) && this.table.get(keyed.key) === undefined) {
            if (scheduler.nowMs() >= deadlineMs || keyed.signal.aborted) {
                return err(bookingErrors.claimTimeout());
            }
            await this.waiters.wait(keyed.key, deadlineMs - scheduler.nowMs(), keyed.signal);
        }
        if (this.table.get(keyed.key) !== undefined) {
            return undefined;
        }
        if (this.table.size >= settings.maxKeys) {
            return err(bookingErrors.notClaimed("the claim table is full; raise bookings.maxKeys or lower bookings.retentionMs"));
        }
        const claim = this.appendClaim(keyed);
        while (claim.status === "pending" && scheduler.nowMs() < deadlineMs && !keyed.signal.aborted) {
            await this.waiters.wait(keyed.key, deadlineMs - scheduler.nowMs(), keyed.signal);
        }
        this.pendingKeys.delete(keyed.key);
        return this.resolveClaim(keyed, claim);
    }

    private async resolveClaim(keyed: KeyedCall, claim: LocalClaim): Promise<RunResult | undefined> {
        if (claim.status === "lost") {
            this.claims.delete(claim.nonce);
            this.waiters.wake(keyed.key);
            return undefined;
        }
        if (keyed.signal.aborted) {
            this.abandon(claim);
            return err(bookingErrors.cancelled("not-run"));
        }
        if (claim.status === "won" && this.isWithinClaimWait(claim)) {
            return this.sendClaimed(keyed, claim);
        }
        if (keyed.call.hasUpstreamDeduplication) {
            return this.sendClaimed(keyed, claim);
        }
        this.abandon(claim);
        return err(bookingErrors.claimTimeout());
    }

    /** Sends the call once. Its outcome is appended even if the caller disconnects meanwhile. */
    private sendClaimed(keyed: KeyedCall, claim: LocalClaim): Promise<RunResult> {
        claim.status = "sent";
        const pendingResult = this.sendAndRecord(keyed, claim);
        return new Promise(resolve => {
            const onAbort = () => {
                resolve(err(bookingErrors.cancelled("unknown")));
            };
            keyed.signal.addEventListener("abort", onAbort, { once: true });
            void pendingResult.then(result => {
                keyed.signal.removeEventListener("abort", onAbort);
                resolve(result);
            });
        });
    }

    private async sendAndRecord(keyed: KeyedCall, claim: LocalClaim): Promise<RunResult> {
        try {
            const response = await keyed.send(() => this.mayStart(keyed, claim));
            const body = response.body.length <= this.options.settings.maxAnswerBytes ? response.body : undefined;
            this.appendOutcome(claim, {
                type: "answer",
                key: claim.key,
                nonce: claim.nonce,
                status: response.status,
                contentType: response.contentType,
                body,
            });
            return ok(response);
        }
        catch (error) {
            if (error instanceof BookingSendError && error.outcome === "not-run") {
                this.abandon(claim);
                return err({ kind: "upstream-failed", outcome: "not-run", retryAfterMs: error.retryAfterMs, message: error.message });
            }
            this.appendOutcome(claim, { type: "lost", key: claim.key, nonce: claim.nonce });
            const message = error instanceof Error ? error.message : "the upstream sent no complete response";
            return err({ kind: "upstream-failed", outcome: "unknown", retryAfterMs: undefined, message });
        }
    }

    /** Replays the recorded response of a finished call or waits for the call in flight; undefined if its claim was abandoned. */
    private async replayOrJoin(keyed: KeyedCall, first: ClaimEntry): Promise<RunResult | undefined> {
        const { scheduler, settings } = this.options;
        const deadlineMs = scheduler.nowMs() + settings.joinWaitMs;
        let ownerLastAliveMs = scheduler.nowMs();
        for (let entry: ClaimEntry | undefined = first; entry !== undefined; entry = this.table.get(keyed.key)) {
            if (entry.digest !== keyed.digest) {
                return err(bookingErrors.keyReused());
            }
            if (entry.state === "answered") {
                return this.replay(entry, keyed.signal);
            }
            if (keyed.signal.aborted) {
                return err(bookingErrors.cancelled("unknown"));
            }
            ownerLastAliveMs = this.isOwnerAlive(entry.owner) ? scheduler.nowMs() : ownerLastAliveMs;
            const hasOwnerFailed = scheduler.nowMs() - ownerLastAliveMs >= ownerTimeoutMs;
            if (entry.state === "lost" || hasOwnerFailed || scheduler.nowMs() >= deadlineMs) {
                return keyed.call.hasUpstreamDeduplication
                    ? this.sendClaimed(keyed, this.createClaim(keyed))
                    : err(bookingErrors.outcomeUnknown());
            }
            await this.waiters.wait(keyed.key, Math.min(ownerCheckIntervalMs, deadlineMs - scheduler.nowMs()), keyed.signal);
        }
        return undefined;
    }

    private async replay(entry: ClaimEntry, signal: AbortSignal): Promise<RunResult> {
        const response = entry.answer ?? await readRecordedResponse(this.options.log, this.options.settings.stream, entry, signal);
        if (response === undefined) {
            return err(
                bookingErrors.responseUnavailable(
                    "the call ran, but its response cannot be read from the platform's log now; retry the call later",
                ),
            );
        }
        if (response.body === undefined) {
            return err(
                bookingErrors.responseUnavailable(
                    "the call ran, but its response body exceeded bookings.maxAnswerBytes and was not recorded",
                ),
            );
        }
        return ok({ status: response.status, contentType: response.contentType, body: response.body });
    }

    private isOwnerAlive(owner: ClaimOwner): boolean {
        return this.isOwn(owner) || this.options.isAlive(owner.vm, owner.incarnation);
    }

    private isOwn(owner: ClaimOwner): boolean {
        return owner.vm === this.options.vm && owner.incarnation === this.options.incarnation;
    }

    private appendClaim(keyed: KeyedCall): LocalClaim {
        const claim = this.createClaim(keyed);
        this.pendingKeys.add(claim.key);
        this.commit.add({
            record: createClaimRecord(claim),
            isWanted: () => claim.status === "pending" && this.claims.has(claim.nonce),
            onAppending: () => {
                claim.uncertainAppendCount++;
            },
            onNotAppended: () => {
                claim.uncertainAppendCount--;
            },
        });
        return claim;
    }

    private createClaim(keyed: KeyedCall): LocalClaim {
        const { scheduler } = this.options;
        const claim: LocalClaim = {
            key: keyed.key,
            digest: keyed.digest,
            nonce: this.nextNonce++,
            createdMs: scheduler.nowMs(),
            createdWallMs: scheduler.wallMs(),
            isConfirmed: false,
            uncertainAppendCount: 0,
            status: "pending",
        };
        this.claims.set(claim.nonce, claim);
        return claim;
    }

    /** Abandons a claim for which nothing was sent. Its nonce is never reused. */
    private abandon(claim: LocalClaim): void {
        this.claims.delete(claim.nonce);
        if (claim.uncertainAppendCount > 0) {
            this.appendAbandon(claim.key, claim.nonce);
        }
        this.waiters.wake(claim.key);
    }

    private appendAbandon(key: string, nonce: number): void {
        this.commit.add({ record: { type: "abandon", key, nonce }, isWanted: () => true });
    }

    /** Appends the outcome of a sent call, preceded by its claim if that is not confirmed yet. */
    private appendOutcome(claim: LocalClaim, record: BookingRecord): void {
        const isWanted = () => this.claims.has(claim.nonce);
        if (!claim.isConfirmed) {
            this.commit.add({ record: createClaimRecord(claim), isWanted });
        }
        this.commit.add({
            record,
            isWanted,
            onAppended: () => {
                this.claims.delete(claim.nonce);
            },
        });
    }

    /** Whether the claim is younger than `claimWaitMs` by both clocks. After a longer pause, other VMs may have evicted the key. */
    private isWithinClaimWait(claim: LocalClaim): boolean {
        return this.ageMs(claim) < this.options.settings.claimWaitMs;
    }

    /** Whether a call whose claim won may still be sent; turns false well before other VMs evict its key. */
    private mayStart(keyed: KeyedCall, claim: LocalClaim): boolean {
        return keyed.call.hasUpstreamDeduplication || this.ageMs(claim) < this.options.settings.retentionMs * maxStartAgeRetentionRatio;
    }

    /** Higher of the ages by the two clocks: the monotonic clock stops during a suspend, and the wall clock can be set back. */
    private ageMs(claim: LocalClaim): number {
        const { scheduler } = this.options;
        return Math.max(scheduler.nowMs() - claim.createdMs, scheduler.wallMs() - claim.createdWallMs);
    }

    private foldRecords(records: readonly LogRecord[]): void {
        for (const record of records) {
            if (record.offset < this.nextOffset) {
                continue;
            }
            this.nextOffset = record.offset + 1;
            const batch = decodeBookingBatch(record.payload);
            if (batch.isErr()) {
                log("skipping malformed record in the booking stream", { offset: record.offset, reason: batch.error });
                continue;
            }
            this.pacer.observe(batch.value.vm, this.options.scheduler.nowMs());
            for (const effect of this.table.fold(batch.value, record.offset, this.options.scheduler.nowMs())) {
                this.applyEffect(effect);
            }
        }
    }

    private applyEffect(effect: ClaimEffect): void {
        if (this.isOwn(effect.owner)) {
            this.applyOwnEffect(effect);
        }
        this.waiters.wake(effect.key);
    }

    private applyOwnEffect(effect: ClaimEffect): void {
        const claim = this.claims.get(effect.nonce);
        if (effect.kind === "won" && claim === undefined) {
            this.appendAbandon(effect.key, effect.nonce);
        }
        else if (effect.kind === "won" && claim?.status === "pending") {
            claim.status = "won";
            claim.isConfirmed = true;
        }
        else if (effect.kind === "lost" && claim?.status === "pending") {
            claim.status = "lost";
        }
        else if (effect.kind === "ended") {
            this.claims.delete(effect.nonce);
        }
    }

    private encode(records: readonly BookingRecord[]): Uint8Array {
        const { vm, incarnation } = this.options;
        return encodeBookingBatch({ formatVersion: 1, vm, incarnation, records: [...records] });
    }
}

function createClaimRecord(claim: LocalClaim): BookingRecord {
    return { type: "claim", key: claim.key, digest: claim.digest, nonce: claim.nonce };
}
