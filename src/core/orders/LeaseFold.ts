import type { LeaseRecord } from "../../schema/orders/LeaseRecord.js";
import type { Lease } from "./Lease.js";

/** Folds the lease records of one duty in the order of the log. The first record after the one that it names wins. */
export class LeaseFold {
    lease: Lease | undefined;

    constructor(private readonly duty: string) {}

    /** Takes the record at `offset` in; true when it counts. */
    fold(record: LeaseRecord, offset: number, nowMs: number): boolean {
        if (record.duty !== this.duty || !this.counts(record, nowMs)) {
            return false;
        }
        this.lease = {
            holder: record.holder,
            incarnation: record.incarnation,
            fencingNumber: record.action === "acquire" ? offset : this.lease?.fencingNumber ?? offset,
            lastOffset: offset,
            nonce: record.nonce,
            expiresAtMs: nowMs + record.validMs,
            isReleased: record.action === "release",
        };
        return true;
    }

    /** Whether another VM may acquire the lease now. */
    isFree(nowMs: number): boolean {
        return this.lease === undefined || this.lease.isReleased || nowMs >= this.lease.expiresAtMs;
    }

    get lastOffset(): number {
        return this.lease?.lastOffset ?? -1;
    }

    private counts(record: LeaseRecord, nowMs: number): boolean {
        if (record.action === "acquire") {
            // A writer that found no record at all reads a log that has forgotten this lease, which ended long before.
            return record.previousOffset === this.lastOffset || (record.previousOffset === -1 && this.isFree(nowMs));
        }
        const isHolder = this.lease?.holder === record.holder && this.lease.incarnation === record.incarnation;
        return isHolder && record.previousOffset === this.lastOffset;
    }
}
