import type { Scheduler } from "../../core/util/Scheduler.js";
import { sleepFor } from "../config/sleepFor.js";
import { createLogger } from "../logs/createLogger.js";
import type { KeyedLog } from "../services/KeyedLog.js";
import type { KeyedRecord } from "../services/KeyedRecord.js";
import type { LogError } from "../services/LogError.js";

const log = createLogger("follow");

interface KeyedRead {
    readonly fromOffset: number;
    readonly nextOffset: number;
    readonly records: readonly KeyedRecord[];
}

interface KeyedLogFollowerOptions {
    /** Names the stream in the log. */
    readonly name: string;
    readonly source: KeyedLog;
    readonly scheduler: Scheduler;
    /** How long one read may wait for records. */
    readonly waitMs: number;
    /** Time between the end of one read and the next. */
    readonly readPauseMs: number;
    /**
     * After its first read a VM goes without changes for this long, unless another one reads for it: VMs that start together would all take
     * themselves for the one that reads for all.
     */
    readonly startupDelayMs: number;
    /** Returns the records that said something new. */
    readonly onRecords: (records: readonly KeyedRecord[], isWhole: boolean) => readonly KeyedRecord[];
    /** How many VMs come before this one in reading for all; 0 for the one that does. */
    readonly readerRank: () => number;
    /** Hands what was read to the other VMs: `news` are the records that said something new. */
    readonly onRead: (read: { readonly fromOffset: number; readonly nextOffset: number; }, news: readonly KeyedRecord[]) => void;
    /** The platform stopped or started to answer. */
    readonly onReachabilityChange: (isReached: boolean) => void;
}

/** After a failed read the next one waits this long, doubled up to the greatest pause. */
const firstRetryMs = 100;
const maxRetryMs = 800;
/**
 * A VM reads when it has heard nothing for this long, and for each VM that comes before it a little longer, so that the next one takes
 * over for all when the first is silent or cut off from the platform. All read for themselves within the time a change may take.
 */
const unheardMs = 1_100;
const unheardPerRankMs = 100;
/** VMs from this rank on all read at the same time, and only for themselves. */
const maxWaitRanks = 4;
/** A VM that waits to hear from the reader looks this often whether it has become the reader itself, at times that are multiples of it. */
const checkMs = 200;

/** Keeps up with a keyed stream: its newest records first, then what changes. */
export class KeyedLogFollower {
    /** Offset from which the next read goes on; undefined until the newest records are known. */
    nextOffset: number | undefined;
    private isReached: boolean | undefined;
    private failures = 0;
    private heardMs = -Infinity;
    private settledMs = -Infinity;
    private hasRead = false;
    private reader: string | undefined;

    constructor(private readonly options: KeyedLogFollowerOptions) {}

    /** Reads until `signal` aborts. */
    async run(signal: AbortSignal): Promise<void> {
        const { scheduler, readPauseMs: restMs } = this.options;
        while (!signal.aborted) {
            const nowMs = scheduler.nowMs();
            const quietMs = Math.max(this.heardMs, this.settledMs) + this.patienceMs - nowMs;
            if (this.nextOffset !== undefined && quietMs > 0) {
                await sleepFor(scheduler, Math.min(checkMs - nowMs % checkMs, quietMs));
                continue;
            }
            const isDone = this.nextOffset === undefined ? await this.readNewest(signal) : await this.readChanges(this.nextOffset, signal);
            const restNowMs = isDone ? restMs : Math.min(maxRetryMs, firstRetryMs * 2 ** Math.min(this.failures, 8));
            if (restNowMs > 0 && !signal.aborted) {
                await sleepFor(scheduler, restNowMs);
            }
        }
    }

    /** How long this VM does without hearing from another one that reads. */
    private get patienceMs(): number {
        const rank = this.options.readerRank();
        return rank === 0 ? 0 : unheardMs + Math.min(rank, maxWaitRanks) * unheardPerRankMs;
    }

    /** Takes records that another VM has read. When some are missing before them, the next read comes at once. */
    receiveFromPeer(from: string, { fromOffset, records, nextOffset }: KeyedRead): void {
        if (this.nextOffset === undefined || fromOffset > this.nextOffset) {
            this.heardMs = -Infinity;
            this.settledMs = -Infinity;
            return;
        }
        if (from !== this.reader) {
            log("another VM reads for this one", { stream: this.options.name, vm: from, nextOffset });
            this.reader = from;
        }
        if (nextOffset >= this.nextOffset) {
            this.heardMs = this.options.scheduler.nowMs();
        }
        this.take(records, nextOffset);
    }

    private take(records: readonly KeyedRecord[], nextOffset: number): readonly KeyedRecord[] {
        if (this.nextOffset === undefined || nextOffset <= this.nextOffset) {
            return [];
        }
        const known = this.nextOffset;
        this.nextOffset = nextOffset;
        return this.options.onRecords(records.filter(record => record.offset >= known), false);
    }

    private async readNewest(signal: AbortSignal): Promise<boolean> {
        const read = await this.options.source.newest(signal);
        if (read.isErr()) {
            this.failed(read.error);
            return false;
        }
        this.reached();
        this.nextOffset = read.value.nextOffset;
        this.heardMs = this.options.scheduler.nowMs();
        if (!this.hasRead) {
            this.hasRead = true;
            this.settledMs = this.heardMs + this.options.startupDelayMs;
        }
        this.options.onRecords(read.value.records, true);
        return true;
    }

    private async readChanges(offset: number, signal: AbortSignal): Promise<boolean> {
        const read = await this.options.source.changes(offset, this.options.waitMs, signal);
        if (read.isErr()) {
            if (read.error.kind === "forgotten") {
                log("records were forgotten; reading the newest", {
                    stream: this.options.name,
                    offset,
                    firstOffset: read.error.firstOffset,
                });
                this.nextOffset = undefined;
                return true;
            }
            this.failed(read.error);
            return false;
        }
        this.reached();
        const news = this.take(read.value.records, read.value.nextOffset);
        if (this.options.readerRank() < maxWaitRanks) {
            this.options.onRead({ fromOffset: offset, nextOffset: read.value.nextOffset }, news);
        }
        return true;
    }

    private reached(): void {
        this.failures = 0;
        if (this.isReached !== true) {
            this.isReached = true;
            log("platform log is reached", { stream: this.options.name });
            this.options.onReachabilityChange(true);
        }
    }

    private failed(error: LogError): void {
        this.failures++;
        if (this.isReached !== false) {
            log("platform log is not reached", { stream: this.options.name, kind: error.kind, reason: error.message });
        }
        this.isReached = false;
        this.options.onReachabilityChange(false);
    }
}
