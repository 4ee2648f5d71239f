import type { MemberRecord } from "../../schema/peer/MemberRecord.js";
import type { MemberTombstone } from "../../schema/peer/MemberTombstone.js";
import { fnv1a } from "../util/fnv1a.js";
import { mixHash } from "../util/mixHash.js";
import type { MemberEntry } from "./MemberEntry.js";

/** All VMs known, the own one included, and which record of each wins. */
export class MemberStore {
    /** Raised with every change; tells what a neighbour has not been sent yet. */
    changes = 0;
    /** Order-free hash over the records of members that are not gone. */
    digest = 0;
    private readonly entries = new Map<string, MemberEntry>();

    get(vm: string): MemberEntry | undefined {
        return this.entries.get(vm);
    }

    all(): Iterable<MemberEntry> {
        return this.entries.values();
    }

    get size(): number {
        return this.entries.size;
    }

    /** Ids of the VMs that are not gone, by zone. */
    groupVmsByZone(): Map<string, string[]> {
        const zones = new Map<string, string[]>();
        for (const { isGone, record } of this.entries.values()) {
            if (!isGone) {
                const vms = zones.get(record.availabilityZone) ?? [];
                vms.push(record.vm);
                zones.set(record.availabilityZone, vms);
            }
        }
        return zones;
    }

    /** Takes a record over when it is newer than what is known; true when it was. */
    put(record: MemberRecord, toldBy: string): boolean {
        const entry = this.entries.get(record.vm);
        if (entry !== undefined && !isNewer(record, entry.record)) {
            return false;
        }
        if (entry === undefined || entry.record.incarnation !== record.incarnation) {
            this.replace(entry, newEntry(record));
        }
        else {
            this.toggleDigest(entry);
            entry.record = record;
            entry.watchedSinceMs = entry.isGone ? -Infinity : entry.watchedSinceMs;
            entry.isGone = false;
            this.toggleDigest(entry);
        }
        this.markRecord(record.vm, toldBy);
        return true;
    }

    /** Marks a VM as gone unless a newer record is known; true when this changed something. */
    markGone(statement: MemberTombstone, nowMs: number, toldBy: string): boolean {
        const entry = this.entries.get(statement.vm);
        if (entry === undefined || entry.isGone || isNewer(entry.record, statement)) {
            return false;
        }
        this.toggleDigest(entry);
        entry.record = { ...entry.record, incarnation: statement.incarnation, version: statement.version };
        entry.isGone = true;
        entry.goneAtMs = nowMs - statement.ageMs;
        entry.hasLeft = statement.hasLeft;
        this.markRecord(statement.vm, toldBy);
        return true;
    }

    setConfigOffset(vm: string, configOffset: number, toldBy: string): boolean {
        const entry = this.entries.get(vm);
        if (entry === undefined || configOffset <= entry.configOffset) {
            return false;
        }
        entry.configOffset = configOffset;
        entry.offsetChangeNumber = ++this.changes;
        entry.learnedFrom = toldBy;
        return true;
    }

    remove(vm: string): void {
        const entry = this.entries.get(vm);
        if (entry !== undefined) {
            this.replace(entry, undefined);
        }
    }

    private markRecord(vm: string, toldBy: string): void {
        const entry = this.entries.get(vm);
        if (entry !== undefined) {
            entry.recordChangeNumber = ++this.changes;
            entry.learnedFrom = toldBy;
        }
    }

    private replace(old: MemberEntry | undefined, replacement: MemberEntry | undefined): void {
        if (old !== undefined) {
            this.toggleDigest(old);
            this.entries.delete(old.record.vm);
        }
        if (replacement !== undefined) {
            this.entries.set(replacement.record.vm, replacement);
            this.toggleDigest(replacement);
        }
    }

    /** Adds a live record to the digest, or takes it out again. */
    private toggleDigest(entry: MemberEntry): void {
        if (!entry.isGone) {
            const { vm, incarnation, version } = entry.record;
            this.digest = (this.digest ^ mixHash(fnv1a(`${vm} ${incarnation} ${version}`))) >>> 0;
        }
    }
}

function isNewer(left: { readonly incarnation: string; readonly version: number; }, right: typeof left): boolean {
    return left.incarnation > right.incarnation || (left.incarnation === right.incarnation && left.version > right.version);
}

function newEntry(record: MemberRecord): MemberEntry {
    return {
        record,
        isGone: false,
        goneAtMs: -Infinity,
        hasLeft: false,
        heardAtMs: -Infinity,
        bidirectionalContactAtMs: -Infinity,
        indirectContactAtMs: -Infinity,
        watchedSinceMs: -Infinity,
        lastProbeAtMs: -Infinity,
        configOffset: -1,
        recordChangeNumber: 0,
        offsetChangeNumber: 0,
        learnedFrom: "",
    };
}
