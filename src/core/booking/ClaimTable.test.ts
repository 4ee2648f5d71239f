import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import type { BookingBatch } from "./BookingBatch.js";
import type { BookingRecord } from "./BookingRecord.js";
import type { ClaimEntry } from "./ClaimEntry.js";
import { ClaimTable } from "./ClaimTable.js";

const retentionMs = 1_000;

interface TimedBatch {
    readonly atMs: number;
    readonly batch: BookingBatch;
}

interface ReferenceState {
    readonly claim: string;
    readonly digest: string;
    readonly state: ClaimEntry["state"];
    readonly body: number | undefined;
}

/** Reference model: replays all records from the first for each query, without the ordering and interning of the table. */
function replayReferenceState(history: readonly TimedBatch[], key: string, nowMs: number): ReferenceState | undefined {
    let entry: ReferenceState | undefined;
    let lastClaimAtMs = 0;
    const abandonedAtMs = new Map<string, number>();
    for (const { atMs, batch } of history) {
        entry = atMs - lastClaimAtMs >= retentionMs ? undefined : entry;
        for (const record of batch.records) {
            const claim = `${batch.vm}/${batch.incarnation}/${record.nonce}`;
            if (record.type === "abandon") {
                abandonedAtMs.set(claim, atMs);
            }
            if (record.key !== key) {
                continue;
            }
            if (record.type === "claim" && atMs - (abandonedAtMs.get(claim) ?? -Infinity) >= retentionMs) {
                entry ??= { claim, digest: record.digest, state: "claimed", body: undefined };
                lastClaimAtMs = atMs;
            }
            else if (entry?.claim !== claim || entry.state !== "claimed") {
                continue;
            }
            else if (record.type === "abandon") {
                entry = undefined;
            }
            else if (record.type === "answer") {
                entry = { ...entry, state: "answered", body: record.body?.[0] };
            }
            else if (record.type === "lost") {
                entry = { ...entry, state: "lost" };
            }
        }
    }
    return nowMs - lastClaimAtMs >= retentionMs ? undefined : entry;
}

const key = fc.constantFrom("k0", "k1");
const nonce = fc.nat(3);
const record: fc.Arbitrary<BookingRecord> = fc.oneof(
    fc.record({ type: fc.constant("claim" as const), key, nonce, digest: fc.constantFrom("d0", "d1") }),
    fc.record({ type: fc.constant("abandon" as const), key, nonce }),
    fc.record({ type: fc.constant("lost" as const), key, nonce }),
    fc.record({
        type: fc.constant("answer" as const),
        key,
        nonce,
        status: fc.constant(201),
        contentType: fc.constant("text/plain"),
        body: fc.nat(255).map(value => Uint8Array.of(value)),
    }),
);
const batch: fc.Arbitrary<BookingBatch> = fc.record({
    formatVersion: fc.constant(1 as const),
    vm: fc.constantFrom("a", "b"),
    incarnation: fc.constantFrom("1", "2"),
    records: fc.array(record, { minLength: 1, maxLength: 4 }),
});
const history = fc.array(fc.record({ waitMs: fc.constantFrom(0, 1, 300, 999, 1_000, 1_200), batch }), { maxLength: 25 });

test("the state of every key equals that of a replay of all records", () => {
    fc.assert(
        fc.property(history, steps => {
            const table = new ClaimTable(retentionMs, 1e6);
            const replayed: TimedBatch[] = [];
            let nowMs = 0;
            for (const step of steps) {
                nowMs += step.waitMs;
                replayed.push({ atMs: nowMs, batch: step.batch });
                table.fold(step.batch, replayed.length, nowMs);
                for (const name of ["k0", "k1"]) {
                    const entry = table.get(name);
                    const actual = entry === undefined ? undefined : {
                        claim: `${entry.owner.vm}/${entry.owner.incarnation}/${entry.nonce}`,
                        digest: entry.digest,
                        state: entry.state,
                        body: entry.answer?.body?.[0],
                    };
                    expect(actual).toEqual(replayReferenceState(replayed, name, nowMs));
                }
            }
        }),
        { seed: 7, numRuns: 2_000 },
    );
});

test("two tables that fold one stream at different times have equal entries as long as no key has expired", () => {
    fc.assert(
        fc.property(history, steps => {
            const live = new ClaimTable(1e9, 1e6);
            const rebuilt = new ClaimTable(1e9, 1e6);
            steps.forEach((step, index) => live.fold(step.batch, index, index * 1_000));
            steps.forEach((step, index) => rebuilt.fold(step.batch, index, 5e6));
            for (const name of ["k0", "k1"]) {
                const [left, right] = [live.get(name), rebuilt.get(name)];
                expect(left && { ...left, lastClaimAtMs: 0 }).toEqual(right && { ...right, lastClaimAtMs: 0 });
            }
        }),
        { seed: 7, numRuns: 500 },
    );
});

test("an entry is removed as soon as its retention has elapsed, and not before", () => {
    const table = new ClaimTable(retentionMs, 1e6);
    table.fold({ formatVersion: 1, vm: "a", incarnation: "1", records: [{ type: "claim", key: "k", digest: "d", nonce: 1 }] }, 0, 0);
    table.expire(retentionMs - 1);
    expect(table.size).toEqual(1);
    table.expire(retentionMs);
    expect(table.size).toEqual(0);
});

test("above the memory limit the oldest responses are evicted, and their offsets in the stream are kept", () => {
    const table = new ClaimTable(retentionMs, 10);
    for (let nonce = 0; nonce < 3; nonce++) {
        const key = `k${nonce}`;
        const body = new Uint8Array(4);
        const answer: BookingRecord = { type: "answer", key, nonce, status: 201, contentType: "text/plain", body };
        table.fold(
            { formatVersion: 1, vm: "a", incarnation: "1", records: [{ type: "claim", key, digest: "d", nonce }, answer] },
            nonce,
            0,
        );
    }
    expect(["k0", "k1", "k2"].map(key => table.get(key)?.answer?.body?.length)).toEqual([undefined, 4, 4]);
    expect([table.get("k0")?.state, table.get("k0")?.endOffset]).toEqual(["answered", 0]);
});
