import { unpack } from "msgpackr";
import { IntervalStore } from "../../core/servicelevel/IntervalStore.js";
import type { Scheduler } from "../../core/util/Scheduler.js";
import { PublishedIntervals } from "../../schema/report/PublishedIntervals.js";
import type { ServiceLevelInterval } from "../../schema/report/ServiceLevelInterval.js";
import { createLogger } from "../logs/createLogger.js";
import type { LogClient } from "../services/LogClient.js";
import type { LogError } from "../services/LogError.js";
import type { LogRecord } from "../services/LogRecord.js";
import { reportStreamName } from "./reportStreamName.js";

const catchUpTimeoutMs = 3_000;

const log = createLogger("report");

/** Reads the intervals that all VMs have published, continuing at the offset where the last read ended. */
export class PublishedIntervalReader {
    private readonly stores = new Map<string, IntervalStore>();
    private offset = 0;

    constructor(private readonly log: LogClient, private readonly scheduler: Scheduler) {}

    /** Reads to the end of the stream. False when a read of the log failed or the end was not reached within the timeout. */
    async catchUp(signal: AbortSignal): Promise<boolean> {
        const deadlineMs = this.scheduler.nowMs() + catchUpTimeoutMs;
        while (this.scheduler.nowMs() < deadlineMs && !signal.aborted) {
            const read = await this.log.read(reportStreamName, this.offset, 0, signal);
            const progress = read.match(records => this.fold(records), error => this.skipToFirstRetained(error));
            if (progress !== "more") {
                return progress === "end";
            }
        }
        return false;
    }

    /** Published intervals of each incarnation since `sinceAtMs`, by the key `vm/incarnation`. */
    listSince(sinceAtMs: number): ReadonlyMap<string, readonly ServiceLevelInterval[]> {
        return new Map([...this.stores].map(([key, store]) => [key, store.since(sinceAtMs)]));
    }

    private fold(records: readonly LogRecord[]): "more" | "end" {
        for (const { offset, payload } of records) {
            this.offset = offset + 1;
            const record = decode(payload);
            if (record === undefined) {
                log("interval record skipped; its format is not known", { offset });
                continue;
            }
            const store = this.getOrCreateStore(`${record.vm}/${record.incarnation}`);
            record.intervals.forEach(interval => {
                store.add(interval);
            });
        }
        this.compact();
        return records.length === 0 ? "end" : "more";
    }

    private skipToFirstRetained(error: LogError): "more" | "failed" {
        if (error.kind === "forgotten" && error.firstOffset !== undefined && error.firstOffset > this.offset) {
            this.offset = error.firstOffset;
            return "more";
        }
        return "failed";
    }

    private getOrCreateStore(key: string): IntervalStore {
        const store = this.stores.get(key) ?? new IntervalStore();
        this.stores.set(key, store);
        return store;
    }

    private compact(): void {
        const nowMs = this.scheduler.wallMs();
        for (const [key, store] of this.stores) {
            store.compact(nowMs);
            if (store.isEmpty) {
                this.stores.delete(key);
            }
        }
    }
}

function decode(payload: Uint8Array): PublishedIntervals | undefined {
    try {
        return PublishedIntervals.safeParse(unpack(payload)).data;
    }
    catch {
        return undefined;
    }
}
