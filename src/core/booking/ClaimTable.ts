import type { BookingBatch } from "./BookingBatch.js";
import type { BookingRecord } from "./BookingRecord.js";
import type { ClaimEffect } from "./ClaimEffect.js";
import type { ClaimEntry } from "./ClaimEntry.js";
import type { ClaimOwner } from "./ClaimOwner.js";

type RecordOf<T extends BookingRecord["type"]> = Extract<BookingRecord, { type: T; }>;

/**
 * Fold of the booking stream. For each key the first claim in offset order wins; a claim that was abandoned at a lower offset is void.
 *
 * A claim that has lost never becomes valid again; its owner needs a new nonce to try again. An entry expires `retentionMs` after this VM
 * last folded a claim of its key, on the VM's own monotonic clock, so that a wrong wall clock cannot shorten the retention.
 */
export class ClaimTable {
    /** Entries by key, ordered by `lastClaimAtMs`, oldest first. */
    private readonly entries = new Map<string, ClaimEntry>();
    /** Times at which claims were abandoned, oldest first. Such a claim stays void even if its record is appended later or again. */
    private readonly abandonedAtMs = new Map<string, number>();
    private readonly internedOwners = new Map<string, ClaimOwner>();

    /** Body bytes of the responses in memory by key, oldest first. */
    private readonly responseBytes = new Map<string, number>();
    private totalResponseBytes = 0;

    /** Above `maxResponseBytes` the oldest responses are evicted; they can be read again from the log at `endOffset`. */
    constructor(private readonly retentionMs: number, private readonly maxResponseBytes: number) {}

    get size(): number {
        return this.entries.size;
    }

    get(key: string): ClaimEntry | undefined {
        return this.entries.get(key);
    }

    /** Folds the batch at `offset` and returns the effects of its records, in order. */
    fold(batch: BookingBatch, offset: number, nowMs: number): ClaimEffect[] {
        this.expire(nowMs);
        const owner = this.internOwner(batch.vm, batch.incarnation);
        const effects: ClaimEffect[] = [];
        for (const record of batch.records) {
            const kind = this.foldRecord(record, owner, offset, nowMs);
            if (kind !== undefined) {
                effects.push({ kind, key: record.key, owner, nonce: record.nonce });
            }
        }
        return effects;
    }

    /** Removes entries and abandoned claims past their retention. */
    expire(nowMs: number): void {
        for (const entry of this.entries.values()) {
            if (nowMs - entry.lastClaimAtMs < this.retentionMs) {
                break;
            }
            this.entries.delete(entry.key);
            this.releaseResponseBytes(entry.key);
        }
        for (const [claimId, abandonedAtMs] of this.abandonedAtMs) {
            if (nowMs - abandonedAtMs < this.retentionMs) {
                break;
            }
            this.abandonedAtMs.delete(claimId);
        }
    }

    private foldRecord(record: BookingRecord, owner: ClaimOwner, offset: number, nowMs: number): ClaimEffect["kind"] | undefined {
        switch (record.type) {
            case "claim":
                return this.foldClaim(record, owner, nowMs);
            case "abandon":
                return this.foldAbandon(record, owner, nowMs);
            case "answer":
            case "lost":
                return this.foldOutcome(record, owner, offset);
        }
    }

    private foldClaim(record: RecordOf<"claim">, owner: ClaimOwner, nowMs: number): ClaimEffect["kind"] | undefined {
        if (this.abandonedAtMs.has(formatClaimId(owner, record.nonce))) {
            return "void";
        }
        const entry = this.entries.get(record.key);
        if (entry === undefined) {
            this.entries.set(record.key, {
                key: record.key,
                digest: record.digest,
                owner,
                nonce: record.nonce,
                state: "claimed",
                answer: undefined,
                endOffset: undefined,
                lastClaimAtMs: nowMs,
            });
            return "won";
        }
        this.markRecentlyClaimed(entry, nowMs);
        return isSameClaim(entry, owner, record.nonce) ? undefined : "lost";
    }

    private foldAbandon(record: RecordOf<"abandon">, owner: ClaimOwner, nowMs: number): ClaimEffect["kind"] | undefined {
        const claimId = formatClaimId(owner, record.nonce);
        this.abandonedAtMs.delete(claimId);
        this.abandonedAtMs.set(claimId, nowMs);
        const entry = this.entries.get(record.key);
        if (entry === undefined || !isSameClaim(entry, owner, record.nonce) || entry.state !== "claimed") {
            return undefined;
        }
        this.entries.delete(record.key);
        return "freed";
    }

    private foldOutcome(record: RecordOf<"answer" | "lost">, owner: ClaimOwner, offset: number): ClaimEffect["kind"] | undefined {
        const entry = this.entries.get(record.key);
        if (entry === undefined || !isSameClaim(entry, owner, record.nonce) || entry.state !== "claimed") {
            return undefined;
        }
        entry.endOffset = offset;
        if (record.type === "answer") {
            entry.state = "answered";
            this.storeResponse(entry, record);
        }
        else {
            entry.state = "lost";
        }
        return "ended";
    }

    private storeResponse(entry: ClaimEntry, record: RecordOf<"answer">): void {
        const body = record.body === undefined ? undefined : new Uint8Array(record.body);
        entry.answer = { status: record.status, contentType: record.contentType, body };
        this.responseBytes.set(entry.key, body?.length ?? 0);
        this.totalResponseBytes += body?.length ?? 0;
        for (const key of this.responseBytes.keys()) {
            if (this.totalResponseBytes <= this.maxResponseBytes) {
                return;
            }
            this.evictResponse(key);
        }
    }

    private evictResponse(key: string): void {
        const entry = this.entries.get(key);
        if (entry !== undefined) {
            entry.answer = undefined;
        }
        this.releaseResponseBytes(key);
    }

    private releaseResponseBytes(key: string): void {
        this.totalResponseBytes -= this.responseBytes.get(key) ?? 0;
        this.responseBytes.delete(key);
    }

    /** Updates the time of the last claim and moves the entry to the end of the order. */
    private markRecentlyClaimed(entry: ClaimEntry, nowMs: number): void {
        entry.lastClaimAtMs = nowMs;
        this.entries.delete(entry.key);
        this.entries.set(entry.key, entry);
    }

    /** Returns the same object for each incarnation of a VM, so that entries share it. */
    private internOwner(vm: string, incarnation: string): ClaimOwner {
        const id = `${vm}/${incarnation}`;
        let owner = this.internedOwners.get(id);
        if (owner === undefined) {
            owner = { vm, incarnation };
            this.internedOwners.set(id, owner);
        }
        return owner;
    }
}

function formatClaimId(owner: ClaimOwner, nonce: number): string {
    return `${owner.vm}/${owner.incarnation}/${nonce}`;
}

function isSameClaim(entry: ClaimEntry, owner: ClaimOwner, nonce: number): boolean {
    return entry.nonce === nonce && entry.owner.vm === owner.vm && entry.owner.incarnation === owner.incarnation;
}
