import { isDeepStrictEqual } from "node:util";
import { RouteTable } from "../../core/relay/RouteTable.js";
import { UpstreamDirectory } from "../../core/relay/UpstreamDirectory.js";
import { UpstreamEntryOrder } from "../../core/relay/UpstreamEntryOrder.js";
import type { Scheduler } from "../../core/util/Scheduler.js";
import type { RelayUpstream } from "../../schema/relay/RelayUpstream.js";
import { createLogger } from "../logs/createLogger.js";
import type { KeyedRecord } from "../services/KeyedRecord.js";
import type { RecordsRead } from "./RecordsRead.js";
import type { RelayVmOptions } from "./RelayVmOptions.js";

const log = createLogger("state");

interface RelayStateOptions extends Pick<RelayVmOptions, "config" | "upstreams"> {
    readonly scheduler: Scheduler;
    /** Ends the timers of this state. */
    readonly signal: AbortSignal;
    readonly onConfig: (table: RouteTable) => void;
    readonly onUpstreamRemoved: (id: string) => void;
    /** Called for each upstream entry that is not applied. */
    readonly onEntryIgnored: (reason: IgnoredEntryReason) => void;
}

type IgnoredEntryReason = "older" | "earlier-incarnation" | "undecodable";

/** Configuration and upstreams in force on this VM. The version of the configuration never decreases. */
export class RelayState {
    readonly directory: UpstreamDirectory;
    routeTable: RouteTable | undefined;
    private isUpstreamListKnown = false;
    private readonly entryOrder = new UpstreamEntryOrder();
    /** Ids of upstreams whose newest entry cannot be decoded. */
    private readonly undecodableUpstreamIds = new Set<string>();

    constructor(private readonly options: RelayStateOptions) {
        this.directory = new UpstreamDirectory(options.upstreams);
    }

    /** Whether a configuration and the list of upstreams are known. */
    get isReady(): boolean {
        return this.routeTable !== undefined && this.isUpstreamListKnown;
    }

    /**
     * Applies records of the configuration stream. Returns those to forward to other VMs: none that a later one supersedes; of the newest
     * records of all keys, those in force.
     */
    applyConfigRecords(records: readonly KeyedRecord[], { isWhole }: Pick<RecordsRead, "isWhole">): readonly KeyedRecord[] {
        let firstForwardedIndex = 0;
        const ignored = new Set<KeyedRecord>();
        for (const [index, record] of records.entries()) {
            const { key, value, offset } = record;
            if (key !== this.options.config.key || value === undefined) {
                continue;
            }
            const result = this.applyConfigRecord(value, offset);
            if (result === "applied") {
                firstForwardedIndex = index;
            }
            else if (result === "ignored") {
                ignored.add(record);
            }
        }
        return isWhole ? records.filter(record => !ignored.has(record)) : records.slice(firstForwardedIndex);
    }

    /**
     * Applies records of the upstream list. Returns those to forward to other VMs, without unchanged entries, as upstreams rewrite theirs all the
     * time; of a complete list, those in force.
     */
    applyUpstreamRecords(records: readonly KeyedRecord[], read: RecordsRead): readonly KeyedRecord[] {
        const nowMs = this.options.scheduler.nowMs();
        if (read.isWhole) {
            this.isUpstreamListKnown = true;
            if (read.isRestored) {
                this.directory.recordRestore(nowMs);
                this.scheduleRemoval();
            }
            const ids = new Set(records.map(record => record.key));
            this.directory.retain(ids, nowMs);
            this.entryOrder.startList(ids, nowMs, read.isRestored);
        }
        return records.filter(record => {
            const result = this.applyUpstreamRecord(record, nowMs, read);
            return result === "changed" || read.isWhole && result === "unchanged";
        });
    }

    /** Records that a read of the platform's list that began at `startedMs` has failed. */
    recordListOutage(startedMs: number): void {
        this.directory.recordListOutage(startedMs);
    }

    /** Records a read of the platform's list that began at `startedMs` and has succeeded. */
    recordListRead(startedMs: number): void {
        const nowMs = this.options.scheduler.nowMs();
        if (!this.directory.recordListRead(startedMs, nowMs)) {
            return;
        }
        const graceMs = (this.directory.graceEndMs ?? nowMs) - nowMs;
        log("upstream list can be read again; keeping upstreams whose entries may have expired meanwhile", {
            graceMs: Math.round(graceMs),
        });
        this.scheduleRemoval();
    }

    /** Removes upstreams that were kept after an outage of the list and are still missing at the end of the grace period. */
    private scheduleRemoval(): void {
        const { scheduler, signal } = this.options;
        const { graceEndMs } = this.directory;
        if (graceEndMs === undefined) {
            return;
        }
        // A timer may fire up to a millisecond early.
        scheduler.after(Math.max(1, graceEndMs - scheduler.nowMs()), () => {
            this.removeExpiredUpstreams();
            this.scheduleRemoval();
        }, signal);
    }

    private removeExpiredUpstreams(): void {
        for (const id of this.directory.removeExpired(this.options.scheduler.nowMs())) {
            log("upstream removed", { upstream: id, reason: "still missing after the list outage" });
            this.options.onUpstreamRemoved(id);
        }
    }

    /** Applies a configuration record, unless the one in force is the same or a newer one. */
    private applyConfigRecord(value: Uint8Array, offset: number): "applied" | "same" | "ignored" {
        const config = this.options.config.decode(value);
        if (config.isErr()) {
            log("configuration cannot be decoded; ignoring it", { offset, reason: config.error, version: this.routeTable?.version });
            return "ignored";
        }
        if (this.routeTable !== undefined && config.value.version <= this.routeTable.version) {
            log("configuration is not newer; ignoring it", { offset, version: config.value.version, inForce: this.routeTable.version });
            return config.value.version === this.routeTable.version ? "same" : "ignored";
        }
        const before = this.routeTable?.version;
        this.routeTable = new RouteTable(config.value);
        log("configuration applied", { offset, version: config.value.version, before, routes: config.value.routes.length });
        this.options.onConfig(this.routeTable);
        return "applied";
    }

    /** Applies a record. It counts as changed, too, if other VMs may lack an entry that has not changed here. */
    private applyUpstreamRecord(
        { key: id, value, offset }: KeyedRecord,
        nowMs: number,
        { isForwarded, writtenAfterMs }: RecordsRead,
    ): "changed" | "unchanged" | "ignored" {
        const before = this.directory.get(id);
        if (value === undefined) {
            if (!this.entryOrder.recordRemoval(id, offset, nowMs)) {
                return "ignored";
            }
            this.undecodableUpstreamIds.delete(id);
            this.directory.remove(id, nowMs);
            if (before !== undefined) {
                const isKept = this.directory.get(id) !== undefined;
                log(isKept ? "upstream is missing from the list after an outage; keeping it for a grace period" : "upstream removed", {
                    upstream: id,
                    offset,
                    graceMs: isKept && this.directory.graceEndMs !== undefined ? Math.round(this.directory.graceEndMs - nowMs) : undefined,
                });
                if (!isKept) {
                    this.options.onUpstreamRemoved(id);
                }
            }
            return "changed";
        }
        const upstream = this.options.upstreams.decode(id, value);
        if (upstream.isErr()) {
            if (before !== undefined || !this.undecodableUpstreamIds.has(id)) {
                const consequence = before === undefined ? "ignoring it" : "keeping the previous one";
                log(`upstream entry cannot be decoded; ${consequence}`, { upstream: id, offset, reason: upstream.error });
            }
            this.undecodableUpstreamIds.add(id);
            this.options.onEntryIgnored("undecodable");
            return "changed";
        }
        const age = this.entryOrder.accept(upstream.value, { offset, isVouchedFor: isForwarded }, nowMs);
        if (age !== "newest") {
            if (age !== "known") {
                this.logIgnoredEntry(upstream.value, offset, age);
                this.options.onEntryIgnored(age);
            }
            return "ignored";
        }
        const { service, address, isDraining, startedWallMs, revision } = upstream.value;
        // Upstreams rewrite their entries all the time, and then only the revision changes.
        const isSame = before !== undefined && isDeepStrictEqual({ ...before, revision }, upstream.value);
        if (!isSame) {
            const isNew = before?.startedWallMs !== startedWallMs || before.address !== address;
            log("upstream changed", {
                upstream: id,
                offset,
                service,
                address,
                isDraining,
                isNew,
                startedWallMs,
                revision,
                revisionBefore: before?.revision,
            });
        }
        // VMs that removed the entry during the outage, or started while it could not be decoded, lack an entry that is unchanged here.
        const mayBeLacking = this.directory.isInGracePeriod(id) || this.undecodableUpstreamIds.delete(id);
        this.directory.set(upstream.value, writtenAfterMs);
        return !isSame || mayBeLacking ? "changed" : "unchanged";
    }

    private logIgnoredEntry(
        { id, startedWallMs, revision, isDraining }: RelayUpstream,
        offset: number,
        age: "older" | "earlier-incarnation",
    ): void {
        const message = age === "older"
            ? "upstream entry is older than one that has been applied; ignoring it"
            : "upstream entry seems to be of an earlier incarnation; ignoring it unless another one follows it";
        const inForce = this.directory.get(id);
        log(message, {
            upstream: id,
            offset,
            startedWallMs,
            revision,
            isDraining,
            startedWallMsInForce: inForce?.startedWallMs,
            revisionInForce: inForce?.revision,
        });
    }
}
