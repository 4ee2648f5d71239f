import { unpack } from "msgpackr";
import type { CheckLimits } from "./CheckLimits.js";
import type { HistoryEvent } from "./HistoryEvent.js";
import type { Violation } from "./Violation.js";

interface StreamRecord {
    readonly type: "claim" | "abandon" | "answer" | "lost";
    readonly key: string;
    readonly nonce: number;
    readonly owner: string;
}

interface ReplayedKey {
    /** Claim that holds the key. */
    winner: string | undefined;
    readonly abandoned: Set<string>;
}

/**
 * `sent-unclaimed`: a call was sent by a VM that had not read its own claim back as the holder of the key.
 * `sent-late`: it was sent longer after that claim than a claim is valid.
 * Replays the raw records that the sender had read, without the code under proof. Histories longer than the retention of keys
 * are left to the other checks, as keys expire in them.
 */
export function checkReadBack(events: readonly HistoryEvent[], limits: CheckLimits): Violation[] {
    const spanMs = (events.at(-1)?.atMs ?? 0) - (events[0]?.atMs ?? 0);
    if (spanMs >= limits.retentionMs) {
        return [];
    }
    const landed = new Map<number, StreamRecord[]>();
    const readUpTo = new Map<string, number>();
    const handedOverMs = new Map<string, number>();
    const calls = new Map<number, Extract<HistoryEvent, { type: "called"; }>>();
    const violations: Violation[] = [];
    for (const event of events) {
        if (event.type === "landed") {
            landed.set(event.offset, decode(event.payload));
        }
        else if (event.type === "appended") {
            noteClaims(decode(event.payload), event.atMs, handedOverMs);
        }
        else if (event.type === "read") {
            readUpTo.set(`${event.vm}/${event.incarnation}`, event.offset);
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
            const winner = replay(landed, readUpTo.get(owner) ?? -1, call.streamKey);
            if (winner === undefined || !winner.startsWith(`${owner}/`)) {
                violations.push({
                    invariant: "sent-unclaimed",
                    detail: `call ${event.callId} was sent by ${owner}, the key is held by ${winner ?? "nobody"}`,
                });
            }
            else if (event.atMs - (handedOverMs.get(winner) ?? 0) > limits.claimWaitMs) {
                violations.push({ invariant: "sent-late", detail: `call ${event.callId} was sent too long after its claim` });
            }
        }
    }
    return violations;
}

/** The claim that holds a key after all records up to `offset`. */
function replay(landed: ReadonlyMap<number, readonly StreamRecord[]>, offset: number, key: string): string | undefined {
    const state: ReplayedKey = { winner: undefined, abandoned: new Set() };
    for (let index = 0; index <= offset; index++) {
        for (const record of landed.get(index) ?? []) {
            if (record.key === key) {
                step(state, record);
            }
        }
    }
    return state.winner;
}

function step(state: ReplayedKey, record: StreamRecord): void {
    const claim = `${record.owner}/${record.nonce}`;
    if (record.type === "claim" && state.winner === undefined && !state.abandoned.has(claim)) {
        state.winner = claim;
    }
    if (record.type === "abandon") {
        state.abandoned.add(claim);
        state.winner = state.winner === claim ? undefined : state.winner;
    }
}

function noteClaims(records: readonly StreamRecord[], atMs: number, handedOverMs: Map<string, number>): void {
    for (const record of records) {
        const claim = `${record.owner}/${record.nonce}`;
        if (record.type === "claim" && !handedOverMs.has(claim)) {
            handedOverMs.set(claim, atMs);
        }
    }
}

function decode(payload: Uint8Array): StreamRecord[] {
    const batch = unpack(payload) as { vm: string; incarnation: string; records: Omit<StreamRecord, "owner">[]; };
    return batch.records.map(record => ({ ...record, owner: `${batch.vm}/${batch.incarnation}` }));
}
