import type { Scheduler } from "../../core/util/Scheduler.js";
import { sleepFor } from "../config/sleepFor.js";
import { createLogger } from "../logs/createLogger.js";
import type { KeyedLog } from "../services/KeyedLog.js";
import type { KeyedRecord } from "../services/KeyedRecord.js";
import type { LogError } from "../services/LogError.js";
import type { ForwardedRead } from "./ForwardedRead.js";
import type { KeyedLogMonitor } from "./KeyedLogMonitor.js";
import type { LogSnapshot } from "./LogSnapshot.js";
import type { RecordsRead } from "./RecordsRead.js";

const log = createLogger("follow");

interface KeyedLogFollowerOptions {
    /** Name of the keyed log in log lines. */
    readonly name: string;
    readonly source: KeyedLog;
    readonly scheduler: Scheduler;
    /** Longest wait of one read for new records. */
    readonly waitMs: number;
    /** Pause between the end of one read and the start of the next. */
    readonly readPauseMs: number;
    /** When a read should begin even if the pause is not over; undefined for none. */
    readonly nextReadDueMs: () => number | undefined;
    /**
     * After its first read a VM relies on other VMs for changes for this long: VMs that start together would otherwise all consider
     * themselves the reader.
     */
    readonly startupDelayMs: number;
    /**
     * A VM that is not the reader reads the log when it has heard from no reader for `baseSilenceTimeoutMs`, plus a delay for each rank, so that
     * the next in rank takes over when the reader is silent or cut off from the platform.
     */
    readonly baseSilenceTimeoutMs: number;
    readonly silenceTimeoutPerRankMs: number;
    /** Applies records. Returns those to forward to other VMs; of the newest records of all keys, those that are in force. */
    readonly onRecords: (records: readonly KeyedRecord[], read: RecordsRead) => readonly KeyedRecord[];
    /** Number of VMs that precede this one as reader for the fleet; 0 for the reader. */
    readonly readerRank: () => number;
    /**
     * Forwards a read of changes to the other VMs, with those of its records that `onRecords` returned. `fromOffset` is the position from
     * which the records were applied: a VM at an earlier position must not skip to `nextOffset`. Returns the number of VMs that it was
     * sent to.
     */
    readonly onRead: (read: Omit<ForwardedRead, "records">, forwarded: readonly KeyedRecord[]) => number;
    /** Called when this VM learns that the log has been restored from a copy. */
    readonly onRestored: () => void;
    /** Called after each read that fails while no other VM forwards its reads, with the time at which it began. */
    readonly onOutage: (startedMs: number) => void;
    /**
     * Called when the log is known to be readable, before the records of a read are applied. `startedMs` is when this VM began its read, or received
     * the read of another VM while it had none under way.
     */
    readonly onReadable: (startedMs: number) => void;
    readonly monitor: KeyedLogMonitor;
    /** Requests the newest records from `vm`, or from any other VM; undefined when that has none. */
    readonly requestSnapshot: (vm: string | undefined, signal: AbortSignal) => Promise<LogSnapshot | undefined>;
    /** How long a VM that starts looks for another one that has the newest records, before it reads them itself. */
    readonly snapshotWaitMs: number;
}

/** Delay of the next read after a failed one, doubled with each further failure. */
const initialRetryDelayMs = 100;
/** Longest time from the start of a failed read to the next one, except that a read that took longer is repeated after the initial delay. */
const maxRetryIntervalMs = 800;
/** VMs from this rank on all read at the same time, and only for themselves: they forward nothing. */
const firstNonForwardingRank = 4;
/** Interval at which a VM that waits for the reader checks whether it has become the reader itself, aligned to multiples of the interval. */
const readerCheckIntervalMs = 200;
/** Pause between requests for a snapshot, and how often one is requested after a gap. */
const snapshotRetryMs = 100;
const maxSnapshotTriesAfterGap = 3;

/** Follows a keyed log: reads the newest record of each key first, then changes, which the reader forwards to the other VMs of the fleet. */
export class KeyedLogFollower {
    /** Epoch of the log as far as this VM knows; undefined before it has heard of the log. */
    epoch: number | undefined;
    /** Offset in this epoch of the next record to read; undefined until the newest records are known. */
    nextOffset: number | undefined;
    /** Epoch of the newest records that were applied last. */
    private appliedEpoch: number | undefined;
    /** What another VM knew that had not heard of the log lately, for a VM that starts; applied before the first records that are read. */
    private earlierSnapshot: LogSnapshot | undefined;
    /** End of the newest records that were read; they may include records after `nextOffset`, which other VMs may lack. */
    private newestEndOffset = 0;
    private isReachable: boolean | undefined;
    private consecutiveFailures = 0;
    private lastHeardMs = -Infinity;
    private lastReadMs = -Infinity;
    /** Start of the read that is under way. */
    private readStartedMs: number | undefined;
    /** Start of the last read of this VM that ended at `nextOffset`: later records were written after this time. */
    private positionReadMs = -Infinity;
    private startupDelayEndMs = -Infinity;
    private hasAskedPeers = false;
    private hasRead = false;
    private currentReader: string | undefined;
    /** The VM whose forwarded read left a gap, and the offset up to which this VM lacks records. */
    private gap: { readonly vm: string; readonly endOffset: number; } | undefined;
    /** The newest record of each key, for other VMs. */
    private readonly newestRecords = new Map<string, KeyedRecord>();

    constructor(private readonly options: KeyedLogFollowerOptions) {}

    /** Reads until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            try {
                await this.followOnce(signal);
            }
            catch (error) {
                log("applying records failed unexpectedly; reading the newest ones again", {
                    stream: this.options.name,
                    nextOffset: this.nextOffset,
                    error: error instanceof Error ? error.stack : String(error),
                });
                this.nextOffset = undefined;
                await sleepFor(this.options.scheduler, maxRetryIntervalMs);
            }
        }
    }

    /** Waits for another VM's reads for a moment, or reads once. */
    private async followOnce(signal: AbortSignal): Promise<void> {
        const { scheduler } = this.options;
        if (!this.hasAskedPeers) {
            this.hasAskedPeers = true;
            await this.startFromPeer(signal);
        }
        if (this.gap !== undefined) {
            await this.closeGap(this.gap, signal);
        }
        const nowMs = scheduler.nowMs();
        const remainingWaitMs = Math.max(this.lastHeardMs, this.startupDelayEndMs) + this.silenceTimeoutMs - nowMs;
        if (this.nextOffset !== undefined && remainingWaitMs > 0) {
            this.options.monitor.recordWaiting(this.nextOffset, this.options.readerRank);
            await sleepFor(scheduler, Math.min(readerCheckIntervalMs - nowMs % readerCheckIntervalMs, remainingWaitMs));
            return;
        }
        const startedMs = scheduler.nowMs();
        const isSuccessful = await this.readOnce(startedMs, signal);
        const delayMs = isSuccessful ? this.computeReadPauseMs() : this.computeRetryDelayMs(startedMs);
        if (delayMs > 0 && !signal.aborted) {
            await sleepFor(scheduler, delayMs);
        }
    }

    private async readOnce(startedMs: number, signal: AbortSignal): Promise<boolean> {
        this.readStartedMs = startedMs;
        try {
            return this.nextOffset === undefined
                ? await this.readNewest(signal, startedMs)
                : await this.readChanges(this.nextOffset, signal, startedMs);
        }
        finally {
            this.readStartedMs = undefined;
        }
    }

    private computeReadPauseMs(): number {
        const { scheduler, readPauseMs, nextReadDueMs } = this.options;
        const remainingMs = (nextReadDueMs() ?? Infinity) - scheduler.nowMs();
        return remainingMs > 0 ? Math.min(readPauseMs, remainingMs) : readPauseMs;
    }

    private computeRetryDelayMs(startedMs: number): number {
        const delayMs = initialRetryDelayMs * 2 ** Math.min(this.consecutiveFailures, 8);
        const remainingMs = startedMs + maxRetryIntervalMs - this.options.scheduler.nowMs();
        return Math.max(initialRetryDelayMs, Math.min(delayMs, remainingMs));
    }

    /** How long this VM waits to hear from a reader before it reads itself; 0 for the reader. */
    private get silenceTimeoutMs(): number {
        const { readerRank, baseSilenceTimeoutMs, silenceTimeoutPerRankMs } = this.options;
        const rank = readerRank();
        return rank === 0 ? 0 : baseSilenceTimeoutMs + Math.min(rank, firstNonForwardingRank) * silenceTimeoutPerRankMs;
    }

    /** Applies records that another VM has read. After a gap in the offsets it applies none, and this VM reads the log without waiting. */
    receiveFromPeer(from: string, read: ForwardedRead): void {
        const { epoch, isWhole, fromOffset, records, nextOffset } = read;
        if (epoch < (this.epoch ?? 0)) {
            this.options.monitor.recordEarlierEpoch();
            return;
        }
        this.enterEpoch(epoch, from);
        if (isWhole && this.isNewer(nextOffset)) {
            this.options.monitor.recordReceived(from, read, this.nextOffset ?? 0);
            this.options.onReadable(this.readStartedMs ?? this.options.scheduler.nowMs());
            this.takeNewest({ epoch, nextOffset, records }, true);
            return;
        }
        if (this.nextOffset === undefined || fromOffset > this.nextOffset) {
            this.options.monitor.recordGap(from, { fromOffset, nextOffset }, this.nextOffset);
            this.gap = { vm: from, endOffset: fromOffset };
            this.lastHeardMs = -Infinity;
            this.startupDelayEndMs = -Infinity;
            return;
        }
        this.options.monitor.recordReceived(from, { fromOffset, nextOffset, records }, this.nextOffset);
        if (from !== this.currentReader) {
            log("receiving records from another VM", { stream: this.options.name, vm: from, nextOffset });
            this.currentReader = from;
        }
        if (nextOffset >= this.nextOffset) {
            this.lastHeardMs = this.options.scheduler.nowMs();
            this.options.onReadable(this.readStartedMs ?? this.lastHeardMs);
        }
        this.applyRecords(records, nextOffset, true);
    }

    /** The newest records, for a VM that lacks them; undefined before this VM has any. */
    getSnapshot(): LogSnapshot | undefined {
        if (this.appliedEpoch === undefined) {
            return undefined;
        }
        const heardMs = Math.max(this.lastHeardMs, this.lastReadMs);
        const isRecent = this.nextOffset !== undefined && this.options.scheduler.nowMs() - heardMs <= this.options.baseSilenceTimeoutMs;
        return { epoch: this.appliedEpoch, isRecent, nextOffset: this.nextOffset ?? 0, records: [...this.newestRecords.values()] };
    }

    /** Gives the position up if the log has been restored from a copy: its offsets are given to other records since then. */
    private enterEpoch(epoch: number, vm?: string): void {
        if (this.epoch !== undefined && epoch > this.epoch) {
            log("platform log was restored from a copy; taking its newest records again and keeping what is newer here", {
                stream: this.options.name,
                epoch,
                epochBefore: this.epoch,
                nextOffsetBefore: this.nextOffset,
                vm,
            });
            this.nextOffset = undefined;
            this.newestEndOffset = 0;
            this.positionReadMs = -Infinity;
            this.gap = undefined;
            this.options.onRestored();
        }
        this.epoch = epoch;
    }

    private applyRecords(records: readonly KeyedRecord[], nextOffset: number, isForwarded: boolean): readonly KeyedRecord[] {
        if (this.nextOffset === undefined || nextOffset <= this.nextOffset) {
            return [];
        }
        const firstNewOffset = this.nextOffset;
        const changed = this.options.onRecords(records.filter(record => record.offset >= firstNewOffset), {
            isWhole: false,
            isRestored: false,
            isForwarded,
            writtenAfterMs: this.positionReadMs,
        });
        this.keepNewest(changed);
        // Not before: if a record throws, it must be applied again.
        this.nextOffset = nextOffset;
        return changed;
    }

    /** Applies the newest records of all keys. For other VMs, a record that is not in force leaves the one that is at its place. */
    private applyWhole(epoch: number, records: readonly KeyedRecord[], isForwarded: boolean): void {
        const isRestored = this.appliedEpoch !== undefined && epoch > this.appliedEpoch;
        const inForce = this.options.onRecords(records, { isWhole: true, isRestored, isForwarded, writtenAfterMs: -Infinity });
        const offsets = new Map(records.map(({ key, offset }) => [key, offset]));
        for (const [key, record] of [...this.newestRecords]) {
            const offset = offsets.get(key);
            if (offset === undefined) {
                this.newestRecords.delete(key);
            }
            else {
                this.newestRecords.set(key, { ...record, offset });
            }
        }
        this.keepNewest(inForce);
        this.appliedEpoch = epoch;
    }

    private keepNewest(records: readonly KeyedRecord[]): void {
        for (const { key, offset, value } of records) {
            if (value === undefined) {
                this.newestRecords.delete(key);
            }
            else {
                // A copy, as the value may be a part of a large buffer.
                this.newestRecords.set(key, { key, offset, value: Buffer.from(value) });
            }
        }
    }

    /** Takes the newest records from another VM at the start, as long as one may have them. */
    private async startFromPeer(signal: AbortSignal): Promise<void> {
        const { scheduler, snapshotWaitMs } = this.options;
        const endMs = scheduler.nowMs() + snapshotWaitMs;
        while (!signal.aborted && this.nextOffset === undefined && scheduler.nowMs() < endMs) {
            this.applySnapshot(await this.options.requestSnapshot(this.gap?.vm, signal));
            if (this.nextOffset === undefined) {
                await sleepFor(scheduler, Math.min(snapshotRetryMs, endMs - scheduler.nowMs()));
            }
        }
    }

    /** Takes the missing records from the VM that has forwarded later ones; it may lack them itself for a moment. */
    private async closeGap({ vm, endOffset }: { readonly vm: string; readonly endOffset: number; }, signal: AbortSignal): Promise<void> {
        this.gap = undefined;
        for (let tries = 0; tries < maxSnapshotTriesAfterGap && !signal.aborted && (this.nextOffset ?? -1) < endOffset; tries++) {
            const snapshot = await this.options.requestSnapshot(vm, signal);
            this.applySnapshot(snapshot);
            if (snapshot?.isRecent !== true) {
                return;
            }
            await sleepFor(this.options.scheduler, snapshotRetryMs);
        }
    }

    /** Applies the newest records of another VM if they are newer than this VM's. */
    private applySnapshot(snapshot: LogSnapshot | undefined): void {
        if (snapshot === undefined || snapshot.epoch < (this.epoch ?? 0)) {
            return;
        }
        if (!snapshot.isRecent) {
            this.earlierSnapshot = this.appliedEpoch === undefined ? snapshot : undefined;
            return;
        }
        this.enterEpoch(snapshot.epoch);
        if (this.isNewer(snapshot.nextOffset)) {
            this.takeNewest(snapshot, true);
        }
    }

    /**
     * Whether newest records up to this offset lack nothing of what this VM has: the ones that it took last may have reached beyond its position.
     */
    private isNewer(nextOffset: number): boolean {
        return this.nextOffset === undefined || nextOffset > this.nextOffset && nextOffset >= this.newestEndOffset;
    }

    private takeNewest({ epoch, nextOffset, records }: Omit<LogSnapshot, "isRecent">, isForwarded: boolean): void {
        if (this.earlierSnapshot !== undefined && this.earlierSnapshot.epoch <= epoch) {
            this.applyWhole(this.earlierSnapshot.epoch, this.earlierSnapshot.records, true);
        }
        this.earlierSnapshot = undefined;
        this.nextOffset = nextOffset;
        this.newestEndOffset = Math.max(nextOffset, ...records.map(record => record.offset + 1));
        this.lastHeardMs = this.options.scheduler.nowMs();
        if (!this.hasRead) {
            this.hasRead = true;
            this.startupDelayEndMs = this.lastHeardMs + this.options.startupDelayMs;
        }
        this.applyWhole(epoch, records, isForwarded);
    }

    private async readNewest(signal: AbortSignal, startedMs: number): Promise<boolean> {
        const read = await this.options.source.readNewest(signal);
        if (read.isErr()) {
            this.recordFailure(read.error, startedMs);
            return false;
        }
        const { epoch, nextOffset, records } = read.value;
        if (epoch < (this.epoch ?? 0)) {
            this.options.monitor.recordEarlierEpoch();
            return false;
        }
        this.recordSuccess(startedMs);
        this.options.monitor.recordRead(records.length);
        const isRestored = this.appliedEpoch !== undefined && epoch > this.appliedEpoch;
        this.enterEpoch(epoch);
        if (!this.isNewer(nextOffset)) {
            // Another VM has forwarded newer ones during the read.
            return true;
        }
        this.takeNewest(read.value, false);
        this.positionReadMs = startedMs;
        if (isRestored) {
            this.forward({ epoch, isWhole: true, fromOffset: 0, nextOffset }, 0, records, [...this.newestRecords.values()]);
        }
        return true;
    }

    private async readChanges(offset: number, signal: AbortSignal, startedMs: number): Promise<boolean> {
        this.options.monitor.recordReading(offset, this.options.readerRank);
        const positionEpoch = this.epoch;
        const read = await this.options.source.readChanges(offset, this.options.waitMs, signal);
        if (read.isErr()) {
            if (read.error.kind === "forgotten") {
                log("log no longer holds the next records; reading the newest ones", {
                    stream: this.options.name,
                    offset,
                    firstOffset: read.error.firstOffset,
                });
                this.options.monitor.recordFailedRead(read.error.kind);
                this.nextOffset = undefined;
                return true;
            }
            this.recordFailure(read.error, startedMs);
            return false;
        }
        const { epoch, nextOffset, records } = read.value;
        if (epoch > (this.epoch ?? 0)) {
            this.enterEpoch(epoch);
            return this.readNewest(signal, startedMs);
        }
        if (epoch !== positionEpoch || epoch !== this.epoch) {
            this.options.monitor.recordEarlierEpoch();
            return false;
        }
        this.recordSuccess(startedMs);
        this.options.monitor.recordRead(records.length);
        // Messages of other VMs may have advanced the position during the read, and the newest records may have reached beyond it.
        const fromOffset = Math.max(offset, this.nextOffset ?? offset, this.newestEndOffset);
        const forwarded = this.applyRecords(records, nextOffset, false);
        if (this.nextOffset === nextOffset) {
            this.positionReadMs = startedMs;
        }
        const hasNothingNew = fromOffset > offset && nextOffset <= fromOffset;
        if (!hasNothingNew) {
            this.forward({ epoch, isWhole: false, fromOffset, nextOffset }, offset, records, forwarded);
        }
        return true;
    }

    /** Forwards a read that this VM has requested from `readOffset` on, if it is one of the first in rank. */
    private forward(
        range: Omit<ForwardedRead, "records">,
        readOffset: number,
        records: readonly KeyedRecord[],
        forwarded: readonly KeyedRecord[],
    ): void {
        if (this.options.readerRank() < firstNonForwardingRank) {
            const vms = this.options.onRead(range, forwarded);
            this.options.monitor.recordForwarded(range, { readOffset, records, forwarded, vms });
        }
    }

    private recordSuccess(startedMs: number): void {
        this.consecutiveFailures = 0;
        this.lastReadMs = this.options.scheduler.nowMs();
        if (this.isReachable !== true) {
            this.isReachable = true;
            log("platform log is reachable", { stream: this.options.name });
        }
        this.options.onReadable(startedMs);
    }

    private recordFailure(error: LogError, startedMs: number): void {
        this.consecutiveFailures++;
        this.options.monitor.recordFailedRead(error.kind);
        if (this.isReachable !== false) {
            log("platform log is unreachable; retrying", { stream: this.options.name, kind: error.kind, reason: error.message });
        }
        this.isReachable = false;
        if (this.options.scheduler.nowMs() - this.lastHeardMs > this.options.baseSilenceTimeoutMs) {
            this.options.onOutage(startedMs);
        }
    }
}
