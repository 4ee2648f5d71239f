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
const readWaitMs = 1000;
const retryMs = 500;

interface LeaseKeeperOptions {
    readonly duty: string;
    readonly vm: string;
    readonly incarnation: string;
    readonly log: LogClient;
    readonly scheduler: Scheduler;
    readonly settings: LeaseSettings;
    /** Whether this VM should hold the duty. */
    readonly isCandidate: () => boolean;
    readonly uniqueId: () => string;
}

/**
 * Holds the lease of one duty by records in the platform's log. A record counts when no other came between it and the one that its writer
 * had read, so that of several writers one wins. The holder counts its time from before it sent the record, others from when they read
 * it: the holder always stops first.
 */
export class LeaseManager {
    private readonly fold: LeaseFold;
    /** When each own record was sent, by nonce; an answer may be lost, so that only reading the record back counts. */
    private readonly sent = new Map<string, { readonly atMs: number; readonly atWallMs: number; }>();
    private tenure: HeldLease | undefined;
    private nextOffset = 0;
    private hasCaughtUp = false;
    private isAppending = false;

    constructor(private readonly options: LeaseKeeperOptions) {
        this.fold = new LeaseFold(options.duty);
    }

    /** Reads and writes lease records until `signal` aborts. */
    start(signal: AbortSignal): void {
        void this.tail(signal);
        this.options.scheduler.every(this.options.settings.stepMs, () => void this.step(signal), signal);
    }

    /** The lease, when this VM holds it now; to be asked before each act. */
    held(): HeldLease | undefined {
        const { scheduler } = this.options;
        const isOver = this.tenure === undefined
            || scheduler.nowMs() >= this.tenure.deadlineMs
            || scheduler.wallMs() >= this.tenure.wallDeadlineMs;
        return isOver ? undefined : this.tenure;
    }

    /** Someone else has a newer fencing number. */
    invalidate(): void {
        this.tenure = undefined;
    }

    /** Gives the lease up before it ends. */
    async release(signal: AbortSignal): Promise<void> {
        if (this.held() !== undefined) {
            this.tenure = undefined;
            await this.append("release", signal);
        }
    }

    private async step(signal: AbortSignal): Promise<void> {
        const { isCandidate, scheduler, settings } = this.options;
        if (this.isAppending || signal.aborted) {
            return;
        }
        const tenure = this.held();
        const isDue = tenure !== undefined && tenure.deadlineMs - scheduler.nowMs() < settings.validMs * 2 / 3;
        if (tenure !== undefined && !isCandidate()) {
            await this.release(signal);
        }
        else if (isDue) {
            await this.append("renew", signal);
        }
        else if (tenure === undefined && isCandidate() && this.hasCaughtUp && this.fold.isFree(scheduler.nowMs())) {
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
        this.sent.set(record.nonce, { atMs: scheduler.nowMs(), atWallMs: scheduler.wallMs() });
        await this.options.log.append(stream, new TextEncoder().encode(JSON.stringify(record)), signal);
        this.isAppending = false;
    }

    private async tail(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const read = await this.options.log.read(stream, this.nextOffset, this.hasCaughtUp ? readWaitMs : 0, signal);
            if (read.isOk()) {
                this.hasCaughtUp ||= read.value.length === 0;
                for (const record of read.value) {
                    this.take(record);
                }
                if (read.value.length === 0) {
                    await this.pause(1, signal);
                }
            }
            else if (read.error.kind === "forgotten" && read.error.firstOffset !== undefined) {
                this.nextOffset = read.error.firstOffset;
            }
            else {
                await this.pause(retryMs, signal);
            }
        }
    }

    private take({ offset, payload }: LogRecord): void {
        this.nextOffset = offset + 1;
        const record = parseRecord(payload);
        if (record === undefined) {
            log("a lease record does not fit the schema; it is skipped", { offset });
            return;
        }
        const nowMs = this.options.scheduler.nowMs();
        const before = this.fold.lease;
        if (!this.fold.fold(record, offset, nowMs)) {
            return;
        }
        const sent = this.sent.get(record.nonce);
        this.sent.delete(record.nonce);
        if (sent === undefined || record.action === "release") {
            this.tenure = undefined;
            return;
        }
        const { settings } = this.options;
        const isFirst = before === undefined || (before.holder === record.holder && before.incarnation === record.incarnation);
        const quietMs = record.action === "acquire"
            ? (isFirst ? 0 : nowMs + settings.maxOrderDelayMs)
            : this.tenure?.unfencedOrdersFromMs ?? nowMs;
        if (record.action === "acquire") {
            log("lease acquired", { duty: record.duty, fencingNumber: offset });
        }
        this.tenure = {
            fencingNumber: this.fold.lease?.fencingNumber ?? offset,
            deadlineMs: sent.atMs + record.validMs - settings.safetyMarginMs,
            wallDeadlineMs: sent.atWallMs + record.validMs - settings.safetyMarginMs,
            unfencedOrdersFromMs: quietMs,
        };
    }

    private pause(durationMs: number, signal: AbortSignal): Promise<void> {
        return new Promise(resolve => {
            this.options.scheduler.after(durationMs, resolve, signal);
            signal.addEventListener("abort", () => {
                resolve();
            }, { once: true });
        });
    }
}

function parseRecord(payload: Uint8Array): LeaseRecord | undefined {
    try {
        const parsed = LeaseRecord.safeParse(JSON.parse(new TextDecoder().decode(payload)));
        return parsed.success ? parsed.data : undefined;
    }
    catch {
        return undefined;
    }
}
