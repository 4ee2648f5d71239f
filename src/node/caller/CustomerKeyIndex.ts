import { createHash, timingSafeEqual } from "node:crypto";
import type { Customer } from "../../schema/config/Customer.js";

interface KeyEntry {
    readonly hash: Buffer;
    readonly customer: Customer;
}

const prefixBytes = 4;

/** Finds the customer of a bearer key. Keys are known by their SHA-256 hash only. */
export class CustomerKeyIndex {
    private readonly entriesByPrefix = new Map<number, KeyEntry[]>();

    constructor(customers: Iterable<Customer>) {
        for (const customer of customers) {
            for (const keyHash of customer.keyHashes) {
                this.add({ hash: Buffer.from(keyHash, "hex"), customer });
            }
        }
    }

    /** Looks up by a prefix of the hash, which tells nothing of a key, and compares the whole hash in constant time. */
    find(key: string): Customer | undefined {
        const hash = createHash("sha256").update(key).digest();
        for (const entry of this.entriesByPrefix.get(hash.readUIntBE(0, prefixBytes)) ?? []) {
            if (timingSafeEqual(entry.hash, hash)) {
                return entry.customer;
            }
        }
        return undefined;
    }

    private add(entry: KeyEntry): void {
        const prefix = entry.hash.readUIntBE(0, prefixBytes);
        const entries = this.entriesByPrefix.get(prefix);
        if (entries === undefined) {
            this.entriesByPrefix.set(prefix, [entry]);
        }
        else {
            entries.push(entry);
        }
    }
}
