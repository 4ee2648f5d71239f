import { unpack } from "msgpackr";
import type { BookingEvent } from "./BookingEvent.js";
import type { CheckLimits } from "./CheckLimits.js";
import type { Violation } from "./Violation.js";

interface StreamRecord {
    readonly type: "claim" | "abandon" | "answer" | "lost";
    readonly key: string;
    readonly nonce: number;
    readonly owner: string;
}

interface ReplayedKey {
    /** Claim that holds the key, as `owner/nonce`; undefined while the key is free. */
    holder: string | undefined;
    readonly abandoned: Set<string>;
}

/**
 * `sent-unclaimed`: a VM sent a call without having read back its own claim as the holder of the key.
 * `sent-late`: a VM sent a call more than `claimWaitMs` after it appended the claim.
 * Replays the raw records that the sender had read, without the code under test. Skips histories longer than the retention,
 * because keys expire in them; the other checks cover those.
 */
export function checkReadBack(events: readonly BookingEvent[], limits: CheckLimits): Violation[] {
    const spanMs = (events.at(-1)?.atMs ?? 0) - (events[0]?.atMs ?? 0);
    if (spanMs >= limits.retentionMs) {
        return [];
    }
    const landed = new Map<number, StreamRecord[]>();
    const readOffsets = new Map<string, number>();
    const appendedAtMs = new Map<string, number>();
    const calls = new Map<number, Extract<BookingEvent, { type: "called"; }>>();
    const violations: Violation[] = [];
    for (const event of events) {
        if (event.type === "landed") {
            landed.set(event.offset, decode(event.payload));
        }
        else if (event.type === "appended") {
            recordClaimTimes(decode(event.payload), event.atMs, appendedAtMs);
        }
        else if (event.type === "read") {
            readOffsets.set(`${event.vm}/${event.incarnation}`, event.offset);
        }
        else if (event.type === "called") {
            calls.set(event.callId, event);
        }
        else if (event.type === "sent") {
            const call = calls.get(event.callId);
            if (call === undefined || call.upstreamDeduplicates) {
                continue;
            }
            const owner = `${call.vm}/${call.incarnation}`;
            const holder = replay(landed, readOffsets.get(owner) ?? -1, call.streamKey);
            if (holder === undefined || !holder.startsWith(`${owner}/`)) {
                violations.push({
                    invariant: "sent-unclaimed",
                    detail: `call ${event.callId} was sent by ${owner}, but the key is held by ${holder ?? "nobody"}`,
                });
            }
            else if (event.atMs - (appendedAtMs.get(holder) ?? 0) > limits.claimWaitMs) {
                violations.push({ invariant: "sent-late", detail: `call ${event.callId} was sent after its claim had expired` });
            }
        }
    }
    return violations;
}

/** Returns the claim that holds the key after all records up to `offset`. */
function replay(landed: ReadonlyMap<number, readonly StreamRecord[]>, offset: number, key: string): string | undefined {
    const state: ReplayedKey = { holder: undefined, abandoned: new Set() };
    for (let index = 0; index <= offset; index++) {
        for (const record of landed.get(index) ?? []) {
            if (record.key === key) {
                applyRecord(state, record);
            }
        }
    }
    return state.holder;
}

function applyRecord(state: ReplayedKey, record: StreamRecord): void {
    const claim = `${record.owner}/${record.nonce}`;
    if (record.type === "claim" && state.holder === undefined && !state.abandoned.has(claim)) {
        state.holder = claim;
    }
    if (record.type === "abandon") {
        state.abandoned.add(claim);
        state.holder = state.holder === claim ? undefined : state.holder;
    }
}

function recordClaimTimes(records: readonly StreamRecord[], atMs: number, appendedAtMs: Map<string, number>): void {
    for (const record of records) {
        const claim = `${record.owner}/${record.nonce}`;
        if (record.type === "claim" && !appendedAtMs.has(claim)) {
            appendedAtMs.set(claim, atMs);
        }
    }
}

function decode(payload: Uint8Array): StreamRecord[] {
    const batch = unpack(payload) as { vm: string; incarnation: string; records: Omit<StreamRecord, "owner">[]; };
    return batch.records.map(record => ({ ...record, owner: `${batch.vm}/${batch.incarnation}` }));
}
