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

const maxReadMs = 3_000;

const log = createLogger("report");

/** Reads what all VMs published, from where the last read ended. */
export class PublishedIntervalReader {
    private readonly stores = new Map<string, IntervalStore>();
    private offset = 0;

    constructor(private readonly log: LogClient, private readonly scheduler: Scheduler) {}

    /** Reads to the end of the stream; false when the log did not answer, or not all of it within the time allowed. */
    async catchUp(signal: AbortSignal): Promise<boolean> {
        const endMs = this.scheduler.nowMs() + maxReadMs;
        while (this.scheduler.nowMs() < endMs && !signal.aborted) {
            const read = await this.log.read(reportStreamName, this.offset, 0, signal);
            const step = read.match(records => this.fold(records), error => this.skip(error));
            if (step !== "more") {
                return step === "end";
            }
        }
        return false;
    }

    /** Published intervals of each incarnation, by its key. */
    since(sinceAtMs: number): ReadonlyMap<string, readonly ServiceLevelInterval[]> {
        return new Map([...this.stores].map(([key, store]) => [key, store.since(sinceAtMs)]));
    }

    private fold(records: readonly LogRecord[]): "more" | "end" {
        for (const { offset, payload } of records) {
            this.offset = offset + 1;
            const record = decode(payload);
            if (record === undefined) {
                log("record passed over, it is not of this program's format", { offset });
                continue;
            }
            const store = this.storeOf(`${record.vm}/${record.incarnation}`);
            record.intervals.forEach(interval => {
                store.add(interval);
            });
        }
        this.compact();
        return records.length === 0 ? "end" : "more";
    }

    private skip(error: LogError): "more" | "failed" {
        if (error.kind === "forgotten" && error.firstOffset !== undefined && error.firstOffset > this.offset) {
            this.offset = error.firstOffset;
            return "more";
        }
        return "failed";
    }

    private storeOf(key: string): IntervalStore {
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
