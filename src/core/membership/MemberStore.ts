import type { MemberRecord } from "../../schema/peer/MemberRecord.js";
import type { MemberTombstone } from "../../schema/peer/MemberTombstone.js";
import { fnv1a } from "../util/fnv1a.js";
import { mixHash } from "../util/mixHash.js";
import type { MemberEntry } from "./MemberEntry.js";

/** All known VMs, including the local one. Keeps the newest record of each. */
export class MemberStore {
    /** Counter of all changes, by which the changes not yet sent to a neighbour are found. */
    changes = 0;
    /** Order-independent hash over the records of members that are not gone. */
    digest = 0;
    private readonly entries = new Map<string, MemberEntry>();

    get(vm: string): MemberEntry | undefined {
        return this.entries.get(vm);
    }

    listEntries(): Iterable<MemberEntry> {
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

    /** Stores a record if it is newer than the stored one; returns whether it was. */
    put(record: MemberRecord, learnedFrom: string): boolean {
        const entry = this.entries.get(record.vm);
        if (entry !== undefined && !isNewer(record, entry.record)) {
            return false;
        }
        if (entry === undefined || entry.record.incarnation !== record.incarnation) {
            this.replace(entry, createEntry(record));
        }
        else {
            this.toggleDigest(entry);
            entry.record = record;
            entry.watchedSinceMs = entry.isGone ? -Infinity : entry.watchedSinceMs;
            entry.isGone = false;
            this.toggleDigest(entry);
        }
        this.recordChange(record.vm, learnedFrom);
        return true;
    }

    /** Marks a VM as gone unless a newer record is stored; returns whether the entry changed. */
    markGone(tombstone: MemberTombstone, nowMs: number, learnedFrom: string): boolean {
        const entry = this.entries.get(tombstone.vm);
        if (entry === undefined || entry.isGone || isNewer(entry.record, tombstone)) {
            return false;
        }
        this.toggleDigest(entry);
        entry.record = { ...entry.record, incarnation: tombstone.incarnation, version: tombstone.version };
        entry.isGone = true;
        entry.goneAtMs = nowMs - tombstone.ageMs;
        entry.hasLeft = tombstone.hasLeft;
        this.recordChange(tombstone.vm, learnedFrom);
        return true;
    }

    /** Raises the configuration offset of a VM; returns whether it changed. Offsets never decrease. */
    setConfigOffset(vm: string, configOffset: number, learnedFrom: string): boolean {
        const entry = this.entries.get(vm);
        if (entry === undefined || configOffset <= entry.configOffset) {
            return false;
        }
        entry.configOffset = configOffset;
        entry.offsetChangeNumber = ++this.changes;
        entry.learnedFrom = learnedFrom;
        return true;
    }

    remove(vm: string): void {
        const entry = this.entries.get(vm);
        if (entry !== undefined) {
            this.replace(entry, undefined);
        }
    }

    private recordChange(vm: string, learnedFrom: string): void {
        const entry = this.entries.get(vm);
        if (entry !== undefined) {
            entry.recordChangeNumber = ++this.changes;
            entry.learnedFrom = learnedFrom;
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

    /** Adds the record of an entry that is not gone to the digest, or removes it: the XOR is its own inverse. */
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

function createEntry(record: MemberRecord): MemberEntry {
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
