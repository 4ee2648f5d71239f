import type { BookingBatch } from "./BookingBatch.js";
import type { BookingRecord } from "./BookingRecord.js";
import type { ClaimEffect } from "./ClaimEffect.js";
import type { ClaimEntry } from "./ClaimEntry.js";
import type { ClaimOwner } from "./ClaimOwner.js";

type RecordOf<T extends BookingRecord["type"]> = Extract<BookingRecord, { type: T; }>;

/**
 * Fold of the booking stream: for each key the first claim in offset order that was not abandoned before it.
 *
 * A claim that loses is void for good; its claimant needs a new nonce to try again. An entry is forgotten `retentionMs` after
 * this VM last folded a claim of its key, by the VM's own monotonic clock, so that no wrong wall clock shortens the time.
 */
export class ClaimTable {
    /** In order of `touchedMs`, oldest first. */
    private readonly entries = new Map<string, ClaimEntry>();
    /** Abandoned claims with the time of their abandonment, oldest first; they stay void when they land late or again. */
    private readonly abandoned = new Map<string, number>();
    private readonly owners = new Map<string, ClaimOwner>();

    /** Bytes of the answers in memory by key, oldest first. */
    private readonly answerBytes = new Map<string, number>();
    private totalAnswerBytes = 0;

    /** Beyond `maxAnswerBytes` the oldest answers are dropped; they can be read from the log again at `endOffset`. */
    constructor(private readonly retentionMs: number, private readonly maxAnswerBytes: number) {}

    get size(): number {
        return this.entries.size;
    }

    get(key: string): ClaimEntry | undefined {
        return this.entries.get(key);
    }

    /** Folds the batch at `offset` and tells what it did, record by record. */
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

    /** Forgets what has outlived its retention. */
    expire(nowMs: number): void {
        for (const entry of this.entries.values()) {
            if (nowMs - entry.lastClaimAtMs < this.retentionMs) {
                break;
            }
            this.entries.delete(entry.key);
            this.releaseAnswer(entry.key);
        }
        for (const [claim, abandonedMs] of this.abandoned) {
            if (nowMs - abandonedMs < this.retentionMs) {
                break;
            }
            this.abandoned.delete(claim);
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
                return this.foldEnd(record, owner, offset);
        }
    }

    private foldClaim(record: RecordOf<"claim">, owner: ClaimOwner, nowMs: number): ClaimEffect["kind"] | undefined {
        if (this.abandoned.has(claimId(owner, record.nonce))) {
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
        this.touch(entry, nowMs);
        return isClaimOf(entry, owner, record.nonce) ? undefined : "lost";
    }

    private foldAbandon(record: RecordOf<"abandon">, owner: ClaimOwner, nowMs: number): ClaimEffect["kind"] | undefined {
        const claim = claimId(owner, record.nonce);
        this.abandoned.delete(claim);
        this.abandoned.set(claim, nowMs);
        const entry = this.entries.get(record.key);
        if (entry === undefined || !isClaimOf(entry, owner, record.nonce) || entry.state !== "claimed") {
            return undefined;
        }
        this.entries.delete(record.key);
        return "freed";
    }

    private foldEnd(record: RecordOf<"answer" | "lost">, owner: ClaimOwner, offset: number): ClaimEffect["kind"] | undefined {
        const entry = this.entries.get(record.key);
        if (entry === undefined || !isClaimOf(entry, owner, record.nonce) || entry.state !== "claimed") {
            return undefined;
        }
        entry.endOffset = offset;
        if (record.type === "answer") {
            entry.state = "answered";
            this.keepAnswer(entry, record);
        }
        else {
            entry.state = "lost";
        }
        return "ended";
    }

    private keepAnswer(entry: ClaimEntry, record: RecordOf<"answer">): void {
        const body = record.body === undefined ? undefined : new Uint8Array(record.body);
        entry.answer = { status: record.status, contentType: record.contentType, body };
        this.answerBytes.set(entry.key, body?.length ?? 0);
        this.totalAnswerBytes += body?.length ?? 0;
        for (const key of this.answerBytes.keys()) {
            if (this.totalAnswerBytes <= this.maxAnswerBytes) {
                return;
            }
            this.dropAnswer(key);
        }
    }

    private dropAnswer(key: string): void {
        const entry = this.entries.get(key);
        if (entry !== undefined) {
            entry.answer = undefined;
        }
        this.releaseAnswer(key);
    }

    private releaseAnswer(key: string): void {
        this.totalAnswerBytes -= this.answerBytes.get(key) ?? 0;
        this.answerBytes.delete(key);
    }

    /** Moves an entry to the young end. */
    private touch(entry: ClaimEntry, nowMs: number): void {
        entry.lastClaimAtMs = nowMs;
        this.entries.delete(entry.key);
        this.entries.set(entry.key, entry);
    }

    /** One object for each incarnation, so that entries share it. */
    private internOwner(vm: string, incarnation: string): ClaimOwner {
        const id = `${vm}/${incarnation}`;
        let owner = this.owners.get(id);
        if (owner === undefined) {
            owner = { vm, incarnation };
            this.owners.set(id, owner);
        }
        return owner;
    }
}

function claimId(owner: ClaimOwner, nonce: number): string {
    return `${owner.vm}/${owner.incarnation}/${nonce}`;
}

function isClaimOf(entry: ClaimEntry, owner: ClaimOwner, nonce: number): boolean {
    return entry.nonce === nonce && entry.owner.vm === owner.vm && entry.owner.incarnation === owner.incarnation;
}
