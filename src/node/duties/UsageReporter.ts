import { readFencingEpoch } from "../../core/duties/readFencingEpoch.js";
import type { UsageCollector } from "../../core/duties/UsageCollector.js";
import { UsageRecord } from "../../core/duties/UsageRecord.js";
import type { Scheduler } from "../../core/util/Scheduler.js";
import { createLogger } from "../logs/createLogger.js";
import type { DutyApi } from "./DutyApi.js";
import type { DutyReply } from "./DutyReply.js";
import type { HeldDuty } from "./HeldDuty.js";
import type { UsageLease } from "./UsageLease.js";
import type { UsageMetrics } from "./UsageMetrics.js";

const log = createLogger("usage");

/** Key of the record that holds the counts of the last windows. */
const recordKey = "usage";
/** Time after the end of a window for the reports of its last second, and for one lost report. */
const closeDelayMs = 3_000;
/** A window whose reports are not complete, as VMs are cut off or gone, is closed this long before its report is due. */
const closeReserveMs = 2_500;
const recordedWindows = 4;
/** Windows that are remembered in memory: those that may still be sent, and those that a record may hold. */
const rememberedWindows = 16;
const callTimeoutMs = 2_000;
const minRetryDelayMs = 250;
const maxRetryDelayMs = 2_000;

type WindowCounts = UsageRecord["windows"][number];

interface RecordedWindow extends WindowCounts {
    /** Whether this process had the confirmation that it wrote the record. */
    isOwn: boolean;
    state: "recorded" | "reported" | "given-up";
}

interface UsageReporterOptions {
    readonly lease: UsageLease;
    readonly api: DutyApi;
    readonly collector: UsageCollector;
    readonly metrics: UsageMetrics;
    readonly scheduler: Scheduler;
    readonly random: () => number;
    readonly windowMs: number;
    /** Time after the end of a window by which its report is due. */
    readonly lateMs: number;
}

/**
 * While this VM holds the lease: closes windows, records their counts and reports them. The counts of a window are reported only after their
 * record is confirmed, and a window that may have a record elsewhere is never closed, so that no window is reported with different counts.
 */
export class UsageReporter {
    private readonly windows = new Map<number, RecordedWindow>();
    /** Lowest window that may still be closed; undefined until the lease is first held and true time is known. */
    private nextIndex: number | undefined;
    /** Counts whose record is not confirmed yet; they are not counted again. */
    private prepared: WindowCounts | undefined;
    private fencingNumber: number | undefined;
    private firstHeldMs: number | undefined;
    private isRecording = false;
    private isSending = false;
    private nextRecordMs = -Infinity;
    private nextSendMs = -Infinity;
    private recordFailures = 0;
    private sendFailures = 0;

    constructor(private readonly options: UsageReporterOptions) {}

    /** Does what is due now; called several times a second. */
    tick(signal: AbortSignal): void {
        const { lease, collector, scheduler } = this.options;
        const nowMs = scheduler.nowMs();
        const held = lease.getHeld();
        const trueMs = collector.toTrueMs(nowMs);
        if (held === undefined || held.signal.aborted || trueMs === undefined) {
            return;
        }
        this.firstHeldMs ??= nowMs;
        if (held.fencingNumber !== this.fencingNumber) {
            this.takeOver(held, trueMs);
        }
        if (!this.isRecording && nowMs >= this.nextRecordMs) {
            this.closeWindows(trueMs, signal);
        }
        if (!this.isSending && nowMs >= this.nextSendMs) {
            this.sendNext(held, trueMs, signal);
        }
    }

    /** Goes by the records that were read when the lease was acquired. */
    private takeOver(held: HeldDuty, trueMs: number): void {
        this.fencingNumber = held.fencingNumber;
        const bytes = this.options.lease.records.get(recordKey);
        const recorded = bytes === undefined ? { fencingNumber: held.fencingNumber, windows: [] } : decodeRecord(bytes);
        if (recorded === undefined) {
            this.options.metrics.recordWindow("skipped-unreadable");
            log("record of usage cannot be decoded; skipping all windows that have ended");
            this.raiseNextIndex(this.toIndex(trueMs) + 1);
        }
        else if (readFencingEpoch(recorded.fencingNumber) < readFencingEpoch(held.fencingNumber)) {
            // The record was written before the store was restored, and may have been appended since: windows that another holder has recorded
            // and reported in the meantime are not in it.
            this.raiseNextIndex(this.toIndex(trueMs) + 1);
        }
        for (const { index, counts } of recorded?.windows ?? []) {
            this.raiseNextIndex(index + 1);
            const known = this.windows.get(index);
            if (known === undefined) {
                const window: RecordedWindow = { index, counts, isOwn: false, state: "recorded" };
                this.windows.set(index, window);
                if (this.hasEndedBeforeEpoch(index)) {
                    this.giveUp(window, "skipped-epoch");
                }
            }
            else if (!isEqual(known.counts, counts) && known.state !== "given-up") {
                this.giveUp(known, "skipped-conflict");
            }
        }
        if (this.prepared !== undefined && this.prepared.index < (this.nextIndex ?? 0)) {
            this.prepared = undefined;
        }
        log("usage reports taken over", { recordedWindows: recorded?.windows.map(({ index }) => index), nextWindow: this.nextIndex });
    }

    private closeWindows(trueMs: number, signal: AbortSignal): void {
        const { collector, lateMs, scheduler, windowMs } = this.options;
        const lastIndex = this.toIndex(trueMs - closeDelayMs) - 1;
        // A holder that has never closed one begins with those that have just ended.
        const nextIndex = this.nextIndex ?? lastIndex;
        const firstInTime = Math.max(nextIndex, this.toIndex(trueMs - lateMs) - 1);
        if (firstInTime > nextIndex) {
            this.skip(nextIndex, firstInTime - 1, "skipped-late");
        }
        for (let index = firstInTime; index <= lastIndex; index++) {
            const isDue = (index + 1) * windowMs + lateMs - closeReserveMs <= trueMs;
            if (!isDue && this.prepared?.index !== index && !collector.hasAllReports(index, scheduler.nowMs())) {
                return;
            }
            if (this.hasEndedBeforeEpoch(index) || this.hasEndedBeforeFirstHeld(index)) {
                this.skip(index, index, "skipped-epoch");
            }
            else if (this.prepared?.index !== index && !collector.hasCollected(index)) {
                this.skip(index, index, "skipped-incomplete");
            }
            else {
                this.nextIndex = index;
                this.prepared = this.prepared?.index === index ? this.prepared : { index, counts: collector.countRuns(index) };
                void this.record(this.prepared, signal);
                return;
            }
        }
    }

    /** Writes the record of a window together with those before it, and counts it as recorded only when that is confirmed. */
    private async record(window: WindowCounts, signal: AbortSignal): Promise<void> {
        const { lease, metrics, scheduler } = this.options;
        const { index, counts } = window;
        // Windows that are given up are left out, as another holder would send what the record says.
        const earlier = [...this.windows.values()].filter(known => known.state !== "given-up")
            .sort((left, right) => left.index - right.index).slice(1 - recordedWindows);
        const windows = [...earlier.map(known => ({ index: known.index, counts: known.counts })), { index, counts }];
        const record: UsageRecord = { fencingNumber: this.fencingNumber ?? 0, windows };
        this.isRecording = true;
        const appended = await lease.appendWithRenewal([{ key: recordKey, value: Buffer.from(JSON.stringify(record)) }], signal);
        this.isRecording = false;
        if (appended.isErr()) {
            this.nextRecordMs = scheduler.nowMs() + this.computeDelayMs(this.recordFailures++);
            log("usage window not recorded; it is not reported before its record is confirmed", {
                window: index,
                reason: appended.error.message,
            });
            return;
        }
        this.recordFailures = 0;
        this.prepared = undefined;
        this.raiseNextIndex(index + 1);
        const known = this.windows.get(index);
        if (known === undefined) {
            this.windows.set(index, { index, counts, isOwn: true, state: "recorded" });
        }
        else if (isEqual(known.counts, counts)) {
            known.isOwn = true;
        }
        else {
            this.giveUp(known, "skipped-conflict");
        }
        for (const old of [...this.windows.keys()].filter(key => key <= index - rememberedWindows)) {
            this.windows.delete(old);
        }
        metrics.recordWindow("recorded");
        log("usage window recorded", { window: index, customers: Object.keys(counts).length, calls: sum(counts) });
    }

    private sendNext(held: HeldDuty, trueMs: number, signal: AbortSignal): void {
        const { lateMs, windowMs } = this.options;
        for (const window of [...this.windows.values()].sort((left, right) => left.index - right.index)) {
            if (window.state !== "recorded") {
                continue;
            }
            if ((window.index + 1) * windowMs + lateMs + windowMs <= trueMs) {
                this.giveUp(window, "skipped-late");
            }
            else if (!window.isOwn && this.hasEndedBeforeEpoch(window.index)) {
                this.giveUp(window, "skipped-epoch");
            }
            else {
                void this.send(window, held, signal);
                return;
            }
        }
    }

    private async send(window: RecordedWindow, held: HeldDuty, signal: AbortSignal): Promise<void> {
        const { api, metrics, scheduler } = this.options;
        const { index, counts } = window;
        const timeout = new AbortController();
        scheduler.after(Math.min(callTimeoutMs, held.remainingMs), () => {
            timeout.abort();
        }, timeout.signal);
        this.isSending = true;
        const callSignal = AbortSignal.any([held.signal, signal, timeout.signal]);
        const reply = await api.reportUsage({ windowIndex: index, counts }, held, callSignal).catch((): DutyReply => "failed");
        this.isSending = false;
        timeout.abort();
        metrics.recordReply(reply);
        if (reply === "accepted") {
            this.sendFailures = 0;
            window.state = "reported";
            metrics.recordWindow("reported");
            log("usage window reported", { window: index, calls: sum(counts) });
        }
        else if (reply === "failed") {
            const delayMs = this.computeDelayMs(this.sendFailures++);
            this.nextSendMs = scheduler.nowMs() + delayMs;
            log("usage report failed; retrying", { window: index, delayMs: Math.round(delayMs) });
        }
        else {
            this.sendFailures = 0;
            this.giveUp(window, "rejected");
        }
    }

    /** Skips consecutive windows; after a long outage they are many, so that they share a log line. */
    private skip(firstIndex: number, lastIndex: number, reason: "skipped-late" | "skipped-epoch" | "skipped-incomplete"): void {
        this.nextIndex = lastIndex + 1;
        if (this.prepared !== undefined && this.prepared.index <= lastIndex) {
            this.prepared = undefined;
        }
        this.options.metrics.recordWindow(reason, lastIndex - firstIndex + 1);
        log("usage windows skipped", { firstWindow: firstIndex, lastWindow: lastIndex, reason });
    }

    private giveUp(window: RecordedWindow, reason: "skipped-late" | "skipped-epoch" | "skipped-conflict" | "rejected"): void {
        window.state = "given-up";
        this.options.metrics.recordWindow(reason);
        log("usage window not reported", { window: window.index, reason });
    }

    /** Whether the window may have been reported from a record that the store has lost: it ended before the present epoch was first seen. */
    private hasEndedBeforeEpoch(index: number): boolean {
        return this.hasEndedBefore(index, this.options.lease.firstSeenEpochMs);
    }

    /** Without the time at which the present epoch was first seen, a window without a record may have been reported before the first lease. */
    private hasEndedBeforeFirstHeld(index: number): boolean {
        return this.options.lease.firstSeenEpochMs === undefined && this.hasEndedBefore(index, this.firstHeldMs);
    }

    private hasEndedBefore(index: number, monotonicMs: number | undefined): boolean {
        const { collector, windowMs } = this.options;
        const trueMs = monotonicMs === undefined ? undefined : collector.toTrueMs(monotonicMs);
        return trueMs !== undefined && (index + 1) * windowMs <= trueMs;
    }

    private raiseNextIndex(index: number): void {
        this.nextIndex = Math.max(this.nextIndex ?? index, index);
    }

    private toIndex(trueMs: number): number {
        return Math.floor(trueMs / this.options.windowMs);
    }

    /** Exponential backoff; the shortest delay with jitter is 200 ms, so that there are never more than 5 calls a second. */
    private computeDelayMs(failures: number): number {
        return Math.min(maxRetryDelayMs, minRetryDelayMs * 2 ** failures) * (0.8 + 0.4 * this.options.random());
    }
}

function decodeRecord(bytes: Uint8Array): UsageRecord | undefined {
    try {
        return UsageRecord.parse(JSON.parse(Buffer.from(bytes).toString()));
    }
    catch {
        return undefined;
    }
}

function isEqual(left: WindowCounts["counts"], right: WindowCounts["counts"]): boolean {
    const customers = Object.keys(left);
    return customers.length === Object.keys(right).length && customers.every(customer => left[customer] === right[customer]);
}

function sum(counts: WindowCounts["counts"]): number {
    return Object.values(counts).reduce((total, count) => total + count, 0);
}
