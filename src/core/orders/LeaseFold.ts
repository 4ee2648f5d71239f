import type { LeaseRecord } from "../../schema/orders/LeaseRecord.js";
import type { Lease } from "./Lease.js";

/**
 * Folds the lease records of one duty in log order. Of several records with the same `previousOffset` the first one wins, like a
 * compare-and-set.
 */
export class LeaseFold {
    lease: Lease | undefined;

    constructor(private readonly duty: string) {}

    /** Applies the record at `offset`; returns false if it is ignored. */
    fold(record: LeaseRecord, offset: number, nowMs: number): boolean {
        if (record.duty !== this.duty || !this.isValid(record, nowMs)) {
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

    private isValid(record: LeaseRecord, nowMs: number): boolean {
        if (record.action === "acquire") {
            // A writer that found no record sends -1. The log has then deleted the records of the current lease, which expired long before.
            return record.previousOffset === this.lastOffset || (record.previousOffset === -1 && this.isFree(nowMs));
        }
        const isHolder = this.lease?.holder === record.holder && this.lease.incarnation === record.incarnation;
        return isHolder && record.previousOffset === this.lastOffset;
    }
}
