import { LeaseFold } from "../../core/orders/LeaseFold.js";
import type { Scheduler } from "../../core/util/Scheduler.js";
import { LeaseRecord } from "../../schema/orders/LeaseRecord.js";
import { createLogger } from "../logs/createLogger.js";
import type { LogClient } from "../services/LogClient.js";
import type { LogRecord } from "../services/LogRecord.js";
import type { HeldLease } from "./HeldLease.js";
import type { LeaseSettings } from "./LeaseSettings.js";

const log = createLogger("lease");
const stream = "leases";
const maxPollWaitMs = 1000;
const readRetryDelayMs = 500;

interface LeaseManagerOptions {
    readonly duty: string;
    readonly vm: string;
    readonly incarnation: string;
    readonly log: LogClient;
    readonly scheduler: Scheduler;
    readonly settings: LeaseSettings;
    /** Whether this VM should hold the lease of the duty. */
    readonly isCandidate: () => boolean;
    readonly uniqueId: () => string;
}

/**
 * Acquires, renews and releases the lease of one duty with records in the platform's log. A record takes effect only if no other
 * record of the duty lies between it and the last one that its writer had read, so of several concurrent writers one wins. The
 * holder measures the lease from before it sent the record, other VMs from when they read it, so the holder always stops first.
 */
export class LeaseManager {
    private readonly fold: LeaseFold;
    /** Send time of each own record by nonce. A record counts only once it is read back, as the response to an append may be lost. */
    private readonly sentTimes = new Map<string, { readonly atMs: number; readonly atWallMs: number; }>();
    private heldLease: HeldLease | undefined;
    private nextOffset = 0;
    private hasCaughtUp = false;
    private isAppending = false;

    constructor(private readonly options: LeaseManagerOptions) {
        this.fold = new LeaseFold(options.duty);
    }

    /** Tails the stream of lease records and maintains the lease until `signal` aborts. */
    start(signal: AbortSignal): void {
        void this.tailStream(signal);
        this.options.scheduler.every(this.options.settings.checkIntervalMs, () => void this.maintainLease(signal), signal);
    }

    /** The lease if this VM holds it now; check it before each action that depends on the lease. */
    getHeldLease(): HeldLease | undefined {
        const { scheduler } = this.options;
        const isExpired = this.heldLease === undefined
            || scheduler.nowMs() >= this.heldLease.deadlineMs
            || scheduler.wallMs() >= this.heldLease.wallDeadlineMs;
        return isExpired ? undefined : this.heldLease;
    }

    /** Stops using the lease because another VM has a newer fencing number. */
    invalidate(): void {
        this.heldLease = undefined;
    }

    /** Releases the lease before it expires. */
    async release(signal: AbortSignal): Promise<void> {
        if (this.getHeldLease() !== undefined) {
            this.heldLease = undefined;
            await this.append("release", signal);
        }
    }

    private async maintainLease(signal: AbortSignal): Promise<void> {
        const { isCandidate, scheduler, settings } = this.options;
        if (this.isAppending || signal.aborted) {
            return;
        }
        const lease = this.getHeldLease();
        const isRenewalDue = lease !== undefined && lease.deadlineMs - scheduler.nowMs() < settings.validMs * 2 / 3;
        if (lease !== undefined && !isCandidate()) {
            await this.release(signal);
        }
        else if (isRenewalDue) {
            await this.append("renew", signal);
        }
        else if (lease === undefined && isCandidate() && this.hasCaughtUp && this.fold.isFree(scheduler.nowMs())) {
            await this.append("acquire", signal);
        }
    }

    private async append(action: LeaseRecord["action"], signal: AbortSignal): Promise<void> {
        const { duty, vm, incarnation, scheduler, settings, uniqueId } = this.options;
        const record: LeaseRecord = {
            type: "lease",
            formatVersion: 1,
            duty,
            action,
            holder: vm,
            incarnation,
            nonce: uniqueId(),
            previousOffset: this.fold.lastOffset,
            validMs: settings.validMs,
        };
        this.isAppending = true;
        this.sentTimes.set(record.nonce, { atMs: scheduler.nowMs(), atWallMs: scheduler.wallMs() });
        await this.options.log.append(stream, new TextEncoder().encode(JSON.stringify(record)), signal);
        this.isAppending = false;
    }

    private async tailStream(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const read = await this.options.log.read(stream, this.nextOffset, this.hasCaughtUp ? maxPollWaitMs : 0, signal);
            if (read.isOk()) {
                this.hasCaughtUp ||= read.value.length === 0;
                for (const record of read.value) {
                    this.applyRecord(record);
                }
                if (read.value.length === 0) {
                    await this.sleep(1, signal);
                }
            }
            else if (read.error.kind === "forgotten" && read.error.firstOffset !== undefined) {
                this.nextOffset = read.error.firstOffset;
            }
            else {
                await this.sleep(readRetryDelayMs, signal);
            }
        }
    }

    private applyRecord({ offset, payload }: LogRecord): void {
        this.nextOffset = offset + 1;
        const record = parseLeaseRecord(payload);
        if (record === undefined) {
            log("skipping malformed lease record", { offset });
            return;
        }
        const nowMs = this.options.scheduler.nowMs();
        const previousLease = this.fold.lease;
        if (!this.fold.fold(record, offset, nowMs)) {
            return;
        }
        const sentTime = this.sentTimes.get(record.nonce);
        this.sentTimes.delete(record.nonce);
        if (sentTime === undefined || record.action === "release") {
            this.heldLease = undefined;
            return;
        }
        const { settings } = this.options;
        const isFirstOrSameHolder = previousLease === undefined ||
            (previousLease.holder === record.holder && previousLease.incarnation === record.incarnation);
        const unfencedFromMs = record.action === "acquire"
            ? (isFirstOrSameHolder ? 0 : nowMs + settings.maxOrderDelayMs)
            : this.heldLease?.unfencedOrdersFromMs ?? nowMs;
        if (record.action === "acquire") {
            log("lease acquired", { duty: record.duty, fencingNumber: offset });
        }
        this.heldLease = {
            fencingNumber: this.fold.lease?.fencingNumber ?? offset,
            deadlineMs: sentTime.atMs + record.validMs - settings.safetyMarginMs,
            wallDeadlineMs: sentTime.atWallMs + record.validMs - settings.safetyMarginMs,
            unfencedOrdersFromMs: unfencedFromMs,
        };
    }

    private sleep(durationMs: number, signal: AbortSignal): Promise<void> {
        return new Promise(resolve => {
            this.options.scheduler.after(durationMs, resolve, signal);
            signal.addEventListener("abort", () => {
                resolve();
            }, { once: true });
        });
    }
}

function parseLeaseRecord(payload: Uint8Array): LeaseRecord | undefined {
    try {
        const parsed = LeaseRecord.safeParse(JSON.parse(new TextDecoder().decode(payload)));
        return parsed.success ? parsed.data : undefined;
    }
    catch {
        return undefined;
    }
}
