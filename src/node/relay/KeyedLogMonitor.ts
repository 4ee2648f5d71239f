import { createLogger } from "../logs/createLogger.js";
import type { KeyedRecord } from "../services/KeyedRecord.js";

const log = createLogger("follow");
/** More lines than this in a second are not written; the next line tells how many. */
const maxLinesPerSecond = 20;

interface OffsetRange {
    readonly fromOffset: number;
    readonly nextOffset: number;
}

interface ForwardedRead {
    readonly readOffset: number;
    readonly records: readonly KeyedRecord[];
    readonly forwarded: readonly KeyedRecord[];
    /** Number of VMs that it was sent to. */
    readonly vms: number;
}

/**
 * What a forwarded read was to the VM that received it; `behind`: it ends before the VM's own position; `earlier-epoch`: it is of the log before that
 * was restored from a copy.
 */
type ReceivedResult = "moved" | "unchanged" | "behind" | "gap" | "not-started" | "earlier-epoch";

interface KeyedLogMonitorOptions {
    readonly name: string;
    readonly nowMs: () => number;
    /** Whether to log ranges that are forwarded without records; too many in a stream whose entries are rewritten without a change. */
    readonly logsRangesWithoutRecords: boolean;
    readonly onRead: (result: string) => void;
    readonly onReceived: (result: ReceivedResult) => void;
}

/** Logs and counts what a `KeyedLogFollower` reads, forwards and receives. The follower's decisions do not depend on it. */
export class KeyedLogMonitor {
    private readonly heardMs: { reader?: number; store?: number; } = {};
    private lastSender: string | undefined;
    private isReading = false;
    private hasGap = false;
    private lastGapPosition: number | undefined;
    private currentSecond = 0;
    private linesInSecond = 0;
    private suppressedLines = 0;

    constructor(private readonly options: KeyedLogMonitorOptions) {}

    /** Time since another VM's read was received that was not older than this VM's position, or since this VM read the store itself. */
    heardMsAgo(source: "reader" | "store"): number | undefined {
        const heardMs = this.heardMs[source];
        return heardMs === undefined ? undefined : this.options.nowMs() - heardMs;
    }

    /** This VM reads changes itself from `position` on. Called before each read; logs the first one. */
    recordReading(position: number, readerRank: () => number): void {
        const isAfterGap = this.hasGap;
        this.hasGap = false;
        if (this.isReading) {
            return;
        }
        this.isReading = true;
        const rank = readerRank();
        this.write("started reading the platform log", {
            reason: isAfterGap ? "gap" : rank === 0 ? "first in rank" : "no reader heard",
            rank,
            heardMsAgo: roundMs(this.heardMsAgo("reader")),
            nextOffset: position,
        });
    }

    /** This VM waits for forwarded reads. Called before each wait; logs the first one. */
    recordWaiting(position: number, readerRank: () => number): void {
        if (!this.isReading) {
            return;
        }
        this.isReading = false;
        this.write("stopped reading the platform log; waiting for reads of another VM", {
            vm: this.lastSender,
            rank: readerRank(),
            heardMsAgo: roundMs(this.heardMsAgo("reader")),
            nextOffset: position,
        });
    }

    recordRead(recordCount: number): void {
        this.heardMs.store = this.options.nowMs();
        this.options.onRead(recordCount > 0 ? "records" : "empty");
    }

    recordFailedRead(kind: string): void {
        this.options.onRead(kind);
    }

    /** This VM forwarded the range of a read that it had requested from `readOffset` on. */
    recordForwarded({ fromOffset, nextOffset }: OffsetRange, read: ForwardedRead): void {
        const records = countFrom(fromOffset, read.records);
        if (read.forwarded.length > 0 || this.options.logsRangesWithoutRecords && (records > 0 || nextOffset > fromOffset)) {
            const forwarded = countFrom(fromOffset, read.forwarded);
            this.write("read forwarded", { fromOffset, nextOffset, readOffset: read.readOffset, records, forwarded, vms: read.vms });
        }
    }

    /** A forwarded read arrived while this VM was at `position`. Records before the position do not count. */
    recordReceived(from: string, read: OffsetRange & { readonly records: readonly KeyedRecord[]; }, position: number): void {
        const { fromOffset, nextOffset } = read;
        this.lastSender = from;
        if (nextOffset >= position) {
            this.heardMs.reader = this.options.nowMs();
            this.hasGap = false;
        }
        this.options.onReceived(nextOffset > position ? "moved" : nextOffset === position ? "unchanged" : "behind");
        const records = countFrom(position, read.records);
        if (nextOffset > position && (records > 0 || this.options.logsRangesWithoutRecords)) {
            this.write("read received", { vm: from, fromOffset, nextOffset, position, records });
        }
    }

    /** A read of this VM or a forwarded one is of an earlier epoch of the log than the one that this VM knows. */
    recordEarlierEpoch(): void {
        this.options.onReceived("earlier-epoch");
    }

    /** A forwarded read starts beyond `position`, or this VM does not know its position yet. Logged once for each position. */
    recordGap(from: string, { fromOffset, nextOffset }: OffsetRange, position: number | undefined): void {
        this.options.onReceived(position === undefined ? "not-started" : "gap");
        if (position === undefined || position === this.lastGapPosition) {
            return;
        }
        this.hasGap = true;
        this.lastGapPosition = position;
        this.write("gap before a received read; reading the platform log", { vm: from, fromOffset, nextOffset, position });
    }

    private write(message: string, fields: Readonly<Record<string, unknown>>): void {
        const second = Math.floor(this.options.nowMs() / 1_000);
        if (second !== this.currentSecond) {
            this.currentSecond = second;
            this.linesInSecond = 0;
        }
        if (this.linesInSecond >= maxLinesPerSecond) {
            this.suppressedLines++;
            return;
        }
        this.linesInSecond++;
        log(message, {
            stream: this.options.name,
            ...fields,
            suppressedLines: this.suppressedLines > 0 ? this.suppressedLines : undefined,
        });
        this.suppressedLines = 0;
    }
}

function countFrom(offset: number, records: readonly KeyedRecord[]): number {
    return records.filter(record => record.offset >= offset).length;
}

function roundMs(durationMs: number | undefined): number | undefined {
    return durationMs === undefined ? undefined : Math.round(durationMs);
}
