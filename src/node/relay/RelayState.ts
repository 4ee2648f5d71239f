import { isDeepStrictEqual } from "node:util";
import { RouteTable } from "../../core/relay/RouteTable.js";
import { UpstreamDirectory } from "../../core/relay/UpstreamDirectory.js";
import type { Scheduler } from "../../core/util/Scheduler.js";
import { createLogger } from "../logs/createLogger.js";
import type { KeyedRecord } from "../services/KeyedRecord.js";
import type { RelayVmOptions } from "./RelayVmOptions.js";

const log = createLogger("state");

interface RelayStateOptions extends Pick<RelayVmOptions, "config" | "upstreams"> {
    readonly scheduler: Scheduler;
    readonly onConfig: (table: RouteTable) => void;
    readonly onUpstreamRemoved: (id: string) => void;
}

/** The configuration and the upstreams that this VM goes by. The version of the configuration only grows. */
export class RelayState {
    readonly directory = new UpstreamDirectory();
    routeTable: RouteTable | undefined;
    private isListKnown = false;
    /** Upstreams whose newest entry cannot be read. */
    private readonly unreadable = new Set<string>();

    constructor(private readonly options: RelayStateOptions) {}

    /** A configuration and the list of upstreams are known. */
    get isReady(): boolean {
        return this.routeTable !== undefined && this.isListKnown;
    }

    /** Returns the records that may say something new to other VMs. */
    applyConfigRecords(records: readonly KeyedRecord[]): readonly KeyedRecord[] {
        for (const { key, value, offset } of records) {
            if (key === this.options.config.key && value !== undefined) {
                this.takeConfigRecord(value, offset);
            }
        }
        return records;
    }

    /** Returns the records that may say something new to other VMs; upstreams write all the time without saying anything new. */
    applyUpstreamRecords(records: readonly KeyedRecord[], isWhole: boolean): readonly KeyedRecord[] {
        const nowMs = this.options.scheduler.nowMs();
        if (isWhole) {
            this.isListKnown = true;
            this.directory.retain(new Set(records.map(record => record.key)), nowMs);
        }
        return records.filter(record => this.takeUpstreamRecord(record, nowMs));
    }

    /** The platform's list could not be read just now. */
    recordListOutage(): void {
        this.directory.recordListOutage(this.options.scheduler.nowMs());
    }

    /** Drops upstreams that were kept through an outage of the list and are still missing. */
    removeExpiredUpstreams(): void {
        for (const id of this.directory.removeExpired(this.options.scheduler.nowMs())) {
            log("upstream is gone", { upstream: id, reason: "still missing from the list after its outage" });
            this.options.onUpstreamRemoved(id);
        }
    }

    private takeConfigRecord(value: Uint8Array, offset: number): void {
        const config = this.options.config.decode(value);
        if (config.isErr()) {
            log("configuration is ignored", { offset, reason: config.error, version: this.routeTable?.version });
            return;
        }
        if (this.routeTable !== undefined && config.value.version <= this.routeTable.version) {
            return;
        }
        const before = this.routeTable?.version;
        this.routeTable = new RouteTable(config.value);
        log("configuration is in force", { offset, version: config.value.version, before, routes: config.value.routes.length });
        this.options.onConfig(this.routeTable);
    }

    /** Whether the record may say something new to another VM that took the same records before. */
    private takeUpstreamRecord({ key: id, value, offset }: KeyedRecord, nowMs: number): boolean {
        const before = this.directory.get(id);
        if (value === undefined) {
            this.unreadable.delete(id);
            this.directory.remove(id, nowMs);
            if (before !== undefined) {
                const isKept = this.directory.get(id) !== undefined;
                log(isKept ? "upstream left the list during an outage" : "upstream is gone", { upstream: id, offset });
                if (!isKept) {
                    this.options.onUpstreamRemoved(id);
                }
            }
            return true;
        }
        const upstream = this.options.upstreams.decode(id, value);
        if (upstream.isErr()) {
            this.unreadable.add(id);
            if (before !== undefined) {
                log("upstream entry cannot be read; the last one holds", { upstream: id, offset, reason: upstream.error });
            }
            return true;
        }
        const isSame = before !== undefined && isDeepStrictEqual(before, upstream.value);
        if (!isSame) {
            const { service, address, isDraining, startedWallMs } = upstream.value;
            const isNew = before?.startedWallMs !== startedWallMs || before.address !== address;
            log("upstream changed", { upstream: id, offset, service, address, isDraining, isNew });
        }
        // A VM that dropped the entry in the outage, or began after an entry that cannot be read, does not know what this one knows.
        const isNews = !isSame || this.directory.isInGracePeriod(id) || this.unreadable.delete(id);
        this.directory.set(upstream.value);
        return isNews;
    }
}
