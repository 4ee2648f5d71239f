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
const pollMs = 10_000;
const ownerCheckMs = 500;
/** Time without a sight of a claim's owner after which it counts as gone. */
const ownerGoneMs = 2_000;
/** Wait for a claim while the log cannot be read and the call may go out without one. */
const vainClaimWaitMs = 200;
const startShareOfRetention = 0.5;
const maxClaimAttempts = 16;

interface LogBookingServiceOptions {
    readonly log: LogClient;
    readonly scheduler: Scheduler;
    readonly settings: BookingSettings;
    readonly vm: string;
    readonly incarnation: string;
    /** Whether this incarnation of a VM is believed alive; a wrong `false` costs callers an `unknown`, never a second run. */
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
 * Runs keyed calls at most once by claims in the platform's log. A call is sent only by the VM that has read its own claim
 * back as the first of its key, and only while that claim is young; see docs/design/bookings.md.
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
            intervalMs: () => this.pacer.intervalMs(options.scheduler.nowMs()),
        });
    }

    /** Follows the booking stream until `signal` aborts. */
    async start(signal: AbortSignal): Promise<void> {
        this.commit.start(signal);
        const tail = new LogTail({
            log: this.options.log,
            scheduler: this.options.scheduler,
            stream: this.options.settings.stream,
            maxPollWaitMs: pollMs,
            nextOffset: () => this.nextOffset,
            onRecords: records => {
                this.isLogReadable = true;
                this.foldRecords(records);
            },
            onTruncated: firstOffset => {
                log("the log forgot booking records; continue after them", { firstOffset });
                this.nextOffset = Math.max(this.nextOffset, firstOffset);
            },
            onError: message => {
                this.isLogReadable = false;
                log("cannot read the booking stream", { reason: message });
            },
        });
        await tail.start(signal);
    }

    /** Calls sent or claimed here whose end is not yet in the log; a graceful shutdown waits until it is 0. */
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
            const result = entry === undefined ? await this.claimAndSend(keyed) : await this.useEntry(keyed, entry);
            if (result !== undefined) {
                return result;
            }
        }
        return err(bookingErrors.notClaimed("the key changed hands too often; repeat the call"));
    }

    /** Claims the key and sends the call when the claim wins; undefined when another claim has won. */
    private async claimAndSend(keyed: KeyedCall): Promise<RunResult | undefined> {
        const { scheduler, settings } = this.options;
        const isClaimVain = keyed.call.hasUpstreamDeduplication && !this.isLogReadable;
        const deadlineMs = scheduler.nowMs() + Math.min(settings.claimWaitMs, isClaimVain ? vainClaimWaitMs : Infinity);
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
            return err(bookingErrors.notClaimed("the table of keys is full; raise bookings.maxKeys or shorten bookings.retentionMs"));
        }
        const claim = this.addClaim(keyed);
        while (claim.status === "pending" && scheduler.nowMs() < deadlineMs && !keyed.signal.aborted) {
            await this.waiters.wait(keyed.key, deadlineMs - scheduler.nowMs(), keyed.signal);
        }
        this.pendingKeys.delete(keyed.key);
        return this.decideClaim(keyed, claim);
    }

    private async decideClaim(keyed: KeyedCall, claim: LocalClaim): Promise<RunResult | undefined> {
        if (claim.status === "lost") {
            this.claims.delete(claim.nonce);
            this.waiters.wake(keyed.key);
            return undefined;
        }
        if (keyed.signal.aborted) {
            this.abandon(claim);
            return err(bookingErrors.cancelled("not-run"));
        }
        if (claim.status === "won" && this.isValid(claim)) {
            return this.sendClaimed(keyed, claim);
        }
        if (keyed.call.hasUpstreamDeduplication) {
            return this.sendClaimed(keyed, claim);
        }
        this.abandon(claim);
        return err(bookingErrors.claimTimeout());
    }

    /** Sends the call, once. The outcome is appended also when the caller has gone away meanwhile. */
    private sendClaimed(keyed: KeyedCall, claim: LocalClaim): Promise<RunResult> {
        claim.status = "sent";
        const sent = this.sendAndRecord(keyed, claim);
        return new Promise(resolve => {
            const onAbort = () => {
                resolve(err(bookingErrors.cancelled("unknown")));
            };
            keyed.signal.addEventListener("abort", onAbort, { once: true });
            void sent.then(result => {
                keyed.signal.removeEventListener("abort", onAbort);
                resolve(result);
            });
        });
    }

    private async sendAndRecord(keyed: KeyedCall, claim: LocalClaim): Promise<RunResult> {
        try {
            const answer = await keyed.send(() => this.mayStart(keyed, claim));
            const body = answer.body.length <= this.options.settings.maxAnswerBytes ? answer.body : undefined;
            this.end(claim, {
                type: "answer",
                key: claim.key,
                nonce: claim.nonce,
                status: answer.status,
                contentType: answer.contentType,
                body,
            });
            return ok(answer);
        }
        catch (error) {
            if (error instanceof BookingSendError && error.outcome === "not-run") {
                this.abandon(claim);
                return err({ kind: "upstream-failed", outcome: "not-run", retryAfterMs: error.retryAfterMs, message: error.message });
            }
            this.end(claim, { type: "lost", key: claim.key, nonce: claim.nonce });
            const message = error instanceof Error ? error.message : "the upstream gave no whole answer";
            return err({ kind: "upstream-failed", outcome: "unknown", retryAfterMs: undefined, message });
        }
    }

    /** Replays the answer of an ended call, or joins one in flight; undefined when its claim was abandoned. */
    private async useEntry(keyed: KeyedCall, first: ClaimEntry): Promise<RunResult | undefined> {
        const { scheduler, settings } = this.options;
        const deadlineMs = scheduler.nowMs() + settings.joinWaitMs;
        let ownerSeenMs = scheduler.nowMs();
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
            ownerSeenMs = this.isOwnerAlive(entry.owner) ? scheduler.nowMs() : ownerSeenMs;
            const isOwnerGone = scheduler.nowMs() - ownerSeenMs >= ownerGoneMs;
            if (entry.state === "lost" || isOwnerGone || scheduler.nowMs() >= deadlineMs) {
                return keyed.call.hasUpstreamDeduplication
                    ? this.sendClaimed(keyed, this.newClaim(keyed))
                    : err(bookingErrors.outcomeUnknown());
            }
            await this.waiters.wait(keyed.key, Math.min(ownerCheckMs, deadlineMs - scheduler.nowMs()), keyed.signal);
        }
        return undefined;
    }

    private async replay(entry: ClaimEntry, signal: AbortSignal): Promise<RunResult> {
        const answer = entry.answer ?? await readRecordedResponse(this.options.log, this.options.settings.stream, entry, signal);
        if (answer === undefined) {
            return err(
                bookingErrors.answerUnavailable(
                    "the call ran; its answer cannot be read from the platform's log now, repeat the call later",
                ),
            );
        }
        if (answer.body === undefined) {
            return err(bookingErrors.answerUnavailable("the call ran; its answer was too large to keep"));
        }
        return ok({ status: answer.status, contentType: answer.contentType, body: answer.body });
    }

    private isOwnerAlive(owner: ClaimOwner): boolean {
        return this.isOwn(owner) || this.options.isAlive(owner.vm, owner.incarnation);
    }

    private isOwn(owner: ClaimOwner): boolean {
        return owner.vm === this.options.vm && owner.incarnation === this.options.incarnation;
    }

    private addClaim(keyed: KeyedCall): LocalClaim {
        const claim = this.newClaim(keyed);
        this.pendingKeys.add(claim.key);
        this.commit.add({
            record: claimRecord(claim),
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

    private newClaim(keyed: KeyedCall): LocalClaim {
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

    /** Gives up a claim under which nothing was sent; its nonce is never used again. */
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

    /** Appends how a sent call ended. A call sent without a confirmed claim takes its claim along. */
    private end(claim: LocalClaim, record: BookingRecord): void {
        const isWanted = () => this.claims.has(claim.nonce);
        if (!claim.isConfirmed) {
            this.commit.add({ record: claimRecord(claim), isWanted });
        }
        this.commit.add({
            record,
            isWanted,
            onAppended: () => {
                this.claims.delete(claim.nonce);
            },
        });
    }

    /** A pause longer than the wait for a claim, by either clock, may have let others give the key up. */
    private isValid(claim: LocalClaim): boolean {
        return this.ageMs(claim) < this.options.settings.claimWaitMs;
    }

    /** Whether a call whose claim has won may still leave: long before the other VMs forget its key. */
    private mayStart(keyed: KeyedCall, claim: LocalClaim): boolean {
        return keyed.call.hasUpstreamDeduplication || this.ageMs(claim) < this.options.settings.retentionMs * startShareOfRetention;
    }

    /** By the clock that says more, as one of them may have stood still or been set back. */
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
                log("skip a malformed record of the booking stream", { offset: record.offset, reason: batch.error });
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

function claimRecord(claim: LocalClaim): BookingRecord {
    return { type: "claim", key: claim.key, digest: claim.digest, nonce: claim.nonce };
}
