import { createHash, timingSafeEqual } from "node:crypto";
import type { Customer } from "../../schema/config/Customer.js";

interface KeyEntry {
    readonly hash: Buffer;
    readonly customer: Customer;
}

const hashPrefixBytes = 4;

/** Finds the customer of a bearer key. Only the SHA-256 hashes of keys are stored. */
export class CustomerKeyIndex {
    private readonly entriesByPrefix = new Map<number, KeyEntry[]>();

    constructor(customers: Iterable<Customer>) {
        for (const customer of customers) {
            for (const keyHash of customer.keyHashes) {
                this.add({ hash: Buffer.from(keyHash, "hex"), customer });
            }
        }
    }

    /** Looks up entries by a prefix of the hash, which reveals nothing about a key, and compares full hashes in constant time. */
    find(key: string): Customer | undefined {
        const hash = createHash("sha256").update(key).digest();
        for (const entry of this.entriesByPrefix.get(hash.readUIntBE(0, hashPrefixBytes)) ?? []) {
            if (timingSafeEqual(entry.hash, hash)) {
                return entry.customer;
            }
        }
        return undefined;
    }

    private add(entry: KeyEntry): void {
        const prefix = entry.hash.readUIntBE(0, hashPrefixBytes);
        const entries = this.entriesByPrefix.get(prefix);
        if (entries === undefined) {
            this.entriesByPrefix.set(prefix, [entry]);
        }
        else {
            entries.push(entry);
        }
    }
}
