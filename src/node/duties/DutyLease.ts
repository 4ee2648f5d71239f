import { err, ok, type Result, ResultAsync } from "neverthrow";
import { DutyLeaseState } from "../../core/duties/DutyLeaseState.js";
import { dutyLeaseTiming } from "../../core/duties/dutyLeaseTiming.js";
import type { Scheduler } from "../../core/util/Scheduler.js";
import { DutyLeaseRecord } from "../../schema/duties/DutyLeaseRecord.js";
import { createLogger } from "../logs/createLogger.js";
import type { LogError } from "../services/LogError.js";
import type { DutyRecord } from "./DutyRecord.js";
import type { DutyStore } from "./DutyStore.js";
import type { HeldDuty } from "./HeldDuty.js";

const log = createLogger("duties");
const leaseKey = "lease";
/** How often the holder checks its clocks: calls under way are ended this soon after a suspension. */
const holderCheckIntervalMs = 100;
/** Rounding of the clocks could otherwise leave a delay that is too short to end. */
const minCheckDelayMs = 1;
/** Share of the lease after which a call of the store is given up, so that a renewal without a reply can be read back and repeated. */
const storeTimeoutShare = 1 / 6;

interface DutyLeaseOptions {
    readonly vm: string;
    readonly incarnation: string;
    readonly store: DutyStore;
    readonly leaseMs: number;
    readonly scheduler: Scheduler;
    /** Zero-based rank of this VM for the duties. */
    readonly rank: () => number;
    readonly uniqueId: () => string;
}

/** The lease on the fleet's duties as one VM sees it: acquires it, renews it, and says whether this VM may act on it. */
export class DutyLease {
    private readonly state: DutyLeaseState;
    private readonly listeners: (() => void)[] = [];
    private newestRecords: ReadonlyMap<string, Uint8Array> = new Map();
    private held: HeldLease | undefined;
    /** Fencing number of the last acquisition that was announced to the listeners. */
    private announcedFencingNumber: number | undefined;
    private wasOwner = false;
    private hasStopped = false;
    /** Keeps an outage of the store to one log line. */
    private isStoreDown = false;
    /** Calls of the store run one after the other. */
    private lastCall: Promise<unknown> = Promise.resolve();
    private callCount = 0;

    constructor(private readonly options: DutyLeaseOptions) {
        const { vm, incarnation, leaseMs } = options;
        this.state = new DutyLeaseState({ vm, incarnation, leaseMs });
    }

    /** Maintains the lease until `signal` aborts, which ends all calls that depend on it and then releases it. */
    start(signal: AbortSignal): void {
        signal.addEventListener("abort", () => {
            this.stop();
        }, { once: true });
        this.check(signal);
    }

    /** The lease if this VM may act on it now; check it before each action. */
    getHeld(): HeldDuty | undefined {
        this.refresh();
        return this.held;
    }

    /**
     * Appends `records` together with a renewal of the lease, in one conditional append. After an error the records may be in the log, or
     * may still be appended until the next renewal.
     */
    appendWithRenewal(records: readonly DutyRecord[], signal: AbortSignal): ResultAsync<void, LogError> {
        const append = async (): Promise<Result<void, LogError>> => {
            if (this.getHeld() === undefined || this.state.isReadNeeded || signal.aborted) {
                return err(createLogError("not-appended", "the lease is lost or in doubt; nothing was sent"));
            }
            return this.append("renew", records);
        };
        return new ResultAsync(this.enqueue(append));
    }

    /** Newest records of the topic by key, without that of the lease: as read before the acquisition, and appended since. */
    get records(): ReadonlyMap<string, Uint8Array> {
        return this.newestRecords;
    }

    /**
     * Monotonic time by which the fleet had first seen the present epoch of the store; undefined if it has seen no other one. A holder that
     * takes over learns it from the lease record.
     */
    get firstSeenEpochMs(): number | undefined {
        return this.state.firstSeenEpochMs;
    }

    /** Calls `listener` soon after each acquisition with a new fencing number; not when a lease in doubt is confirmed again. */
    onAcquired(listener: () => void): void {
        this.listeners.push(listener);
    }

    private check(signal: AbortSignal): void {
        if (signal.aborted) {
            return;
        }
        const { scheduler, rank } = this.options;
        this.refresh();
        const step = this.state.getStep(this.getTimes(), rank());
        if (this.callCount === 0 && step.kind !== "wait") {
            void this.enqueue<unknown>(() => step.kind === "read" ? this.read() : this.append(step.purpose, []));
        }
        const maxDelayMs = this.state.isOwner || step.kind !== "wait" ? holderCheckIntervalMs : dutyLeaseTiming.rankCheckIntervalMs;
        const delayMs = step.kind === "wait" ? step.delayMs : maxDelayMs;
        const nextCheckMs = Math.min(delayMs, maxDelayMs, this.held?.remainingMs ?? Infinity);
        scheduler.after(Math.max(minCheckDelayMs, nextCheckMs), () => {
            this.check(signal);
        }, signal);
    }

    private stop(): void {
        this.hasStopped = true;
        this.refresh();
        void this.enqueue(async () => {
            if (this.state.isOwner && this.state.isReadNeeded) {
                await this.read();
            }
            if (this.state.isOwner) {
                const released = await this.append("release", []);
                log(released.isOk() ? "lease released" : "lease could not be released; it expires by itself", {
                    reason: released.isErr() ? released.error.message : undefined,
                });
            }
        });
    }

    private async read(): Promise<void> {
        const { scheduler, store } = this.options;
        const read = await this.callStore(signal => store.readNewest(signal));
        if (read.isErr()) {
            this.state.applyReadFailure(scheduler.nowMs());
            if (!this.isStoreDown) {
                log("reading the lease failed; retrying", { reason: read.error.message });
            }
            this.isStoreDown = true;
        }
        else {
            this.isStoreDown = false;
            const records = new Map(read.value.records.map(({ key, value }) => [key, value]));
            this.state.applyRead({ ...read.value, lease: decodeLease(records.get(leaseKey)) }, scheduler.nowMs());
            records.delete(leaseKey);
            this.newestRecords = records;
        }
        this.refresh();
    }

    private async append(purpose: "acquire" | "renew" | "release", records: readonly DutyRecord[]): Promise<Result<void, LogError>> {
        const { scheduler, store, uniqueId } = this.options;
        const nonce = uniqueId();
        const append = this.state.beginAppend(purpose, nonce, this.getTimes());
        if (append === undefined) {
            return err(createLogError("not-appended", "the log has to be read first; nothing was sent"));
        }
        // The lease comes first, so that its offset is the one at which the log ended.
        const leaseRecord = { key: leaseKey, value: Buffer.from(JSON.stringify(append.record)) };
        const reply = await this.callStore(signal => store.append([leaseRecord, ...records], append.atOffset, signal));
        if (reply.isErr()) {
            log("append to the lease got no reply; reading it back", { purpose, reason: reply.error.message });
            this.state.applyNoReply(scheduler.nowMs());
            await this.read();
            const hasLanded = purpose === "release" ? !this.state.isOwner : this.state.isCurrent(nonce);
            return hasLanded ? ok(undefined) : err(reply.error);
        }
        if (reply.value.kind === "conflict") {
            log("append to the lease refused; the log has changed", { purpose, endOffset: reply.value.endOffset });
            this.state.applyConflict(nonce, reply.value.epoch, scheduler.nowMs());
            this.refresh();
            return err(createLogError("not-appended", "another VM has written to the log of the duties; the lease is in doubt"));
        }
        const counts = this.state.applyAppended(nonce, reply.value, scheduler.nowMs());
        if (counts) {
            this.newestRecords = new Map([...this.newestRecords, ...records.map(({ key, value }) => [key, value] as const)]);
        }
        this.refresh();
        return counts ? ok(undefined) : err(createLogError("unknown", "the store was restored from a copy; the lease is lost"));
    }

    private async callStore<T>(call: (signal: AbortSignal) => ResultAsync<T, LogError>): Promise<Result<T, LogError>> {
        const timeout = new AbortController();
        const { scheduler, leaseMs } = this.options;
        scheduler.after(leaseMs * storeTimeoutShare, () => {
            timeout.abort("store call timed out");
        }, timeout.signal);
        const result = await call(timeout.signal);
        timeout.abort("store call ended");
        return result;
    }

    private async enqueue<T>(call: () => Promise<T>): Promise<T> {
        const previous = this.lastCall;
        this.callCount++;
        const result = previous.then(call);
        this.lastCall = result.catch(() => undefined);
        try {
            return await result;
        }
        finally {
            this.callCount--;
        }
    }

    /** Brings `held` up to date with the clocks and the state, and announces changes. */
    private refresh(): void {
        const { state } = this;
        const isHeld = !this.hasStopped && state.isHeld(this.getTimes());
        const { fencingNumber } = state;
        if (this.held !== undefined && (!isHeld || fencingNumber !== this.held.fencingNumber)) {
            const { held } = this;
            this.held = undefined;
            log(this.hasStopped ? "duties stopped" : "lease expired or in doubt; duties stopped", { fencingNumber: held.fencingNumber });
            held.controller.abort("lease lost");
        }
        if (this.wasOwner && !state.isOwner && !this.hasStopped) {
            log("lease lost", { firstSeenEpochMs: state.firstSeenEpochMs });
        }
        this.wasOwner = state.isOwner;
        if (this.held === undefined && isHeld && fencingNumber !== undefined) {
            this.held = new HeldLease(fencingNumber, () => state.getRemainingMs(this.getTimes()));
            log(fencingNumber === this.announcedFencingNumber ? "lease confirmed again" : "lease acquired", { fencingNumber });
            if (fencingNumber !== this.announcedFencingNumber) {
                this.announcedFencingNumber = fencingNumber;
                for (const listener of this.listeners) {
                    // A listener that throws must not end the checks of the lease.
                    queueMicrotask(listener);
                }
            }
        }
    }

    private getTimes() {
        const { scheduler } = this.options;
        return { nowMs: scheduler.nowMs(), wallMs: scheduler.wallMs() };
    }
}

class HeldLease implements HeldDuty {
    readonly controller = new AbortController();

    constructor(readonly fencingNumber: number, private readonly readRemainingMs: () => number) {}

    get remainingMs(): number {
        return this.signal.aborted ? 0 : this.readRemainingMs();
    }

    get signal(): AbortSignal {
        return this.controller.signal;
    }
}

/** A record that cannot be decoded counts as held by an unknown VM until it has stayed unchanged for long enough. */
function decodeLease(value: Uint8Array | undefined): DutyLeaseRecord | undefined {
    if (value === undefined) {
        return undefined;
    }
    const text = Buffer.from(value).toString();
    try {
        return DutyLeaseRecord.parse(JSON.parse(text));
    }
    catch {
        return { holder: "", incarnation: "", nonce: text, epoch: -1, fencingNumber: 0, isReleased: false };
    }
}

function createLogError(kind: LogError["kind"], message: string): LogError {
    return { kind, message, firstOffset: undefined };
}
