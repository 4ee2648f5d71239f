import { expect } from "earl";
import { okAsync } from "neverthrow";
import { describe, test } from "node:test";
import { FakeLog } from "../../../proof/fakes/FakeLog.js";
import { AppendPacer } from "../../core/booking/AppendPacer.js";
import type { BookingRecord } from "../../core/booking/BookingRecord.js";
import { VirtualScheduler } from "../../core/util/VirtualScheduler.js";
import { LogTail } from "../platform/log/LogTail.js";
import { decodeBookingBatch } from "./decodeBookingBatch.js";
import { encodeBookingBatch } from "./encodeBookingBatch.js";
import { GroupCommit } from "./GroupCommit.js";

const never = new AbortController().signal;
const budgetPerSecond = 300;

function record(nonce: number): BookingRecord {
    return { type: "abandon", key: "k", nonce };
}

/** Appends a second in each whole second, and the longest time that a record waited, for VMs that each get a record every `periodMs`. */
async function run(vmCount: number, periodMs: number, seconds: number): Promise<{ perSecond: number[]; maxWaitMs: number; }> {
    const scheduler = new VirtualScheduler();
    const log = new FakeLog(scheduler);
    const perSecond = Array.from({ length: seconds }, () => 0);
    let maxWaitMs = 0;
    log.onLanded = () => {
        const second = Math.floor(scheduler.nowMs() / 1_000);
        perSecond[second] = (perSecond[second] ?? 0) + 1;
    };
    for (let index = 0; index < vmCount; index++) {
        const vm = `vm${index}`;
        const client = log.client();
        const pacer = new AppendPacer(vm, budgetPerSecond);
        const commit = new GroupCommit({
            scheduler,
            append: (records, signal) =>
                client.append("s", encodeBookingBatch({ formatVersion: 1, vm, incarnation: "1", records: [...records] }), signal),
            intervalMs: () => pacer.intervalMs(scheduler.nowMs()),
        });
        commit.start(never);
        let next = 0;
        void new LogTail({
            log: client,
            scheduler,
            stream: "s",
            maxPollWaitMs: 10_000,
            nextOffset: () => next,
            onRecords: records => {
                for (const { offset, payload } of records) {
                    next = offset + 1;
                    pacer.observe(decodeBookingBatch(payload)._unsafeUnwrap().vm, scheduler.nowMs());
                }
            },
            onTruncated: () => undefined,
        }).start(never);
        scheduler.after(index * periodMs / vmCount, () => {
            scheduler.every(periodMs, () => {
                const addedMs = scheduler.nowMs();
                commit.add({
                    record: record(0),
                    isWanted: () => true,
                    onAppended: () => {
                        maxWaitMs = Math.max(maxWaitMs, scheduler.nowMs() - addedMs);
                    },
                });
            }, never);
        }, never);
    }
    await scheduler.advanceAsync(seconds * 1_000);
    return { perSecond, maxWaitMs };
}

describe("GroupCommit", () => {
    test("a VM that is alone appends at once and groups what comes meanwhile", async () => {
        const scheduler = new VirtualScheduler();
        const batches: number[] = [];
        const commit = new GroupCommit({
            scheduler,
            append: records => {
                batches.push(records.length);
                return okAsync(0);
            },
            intervalMs: () => 100,
        });
        commit.start(never);
        commit.add({ record: record(1), isWanted: () => true });
        await scheduler.advanceAsync(1);
        expect(batches).toEqual([1]);
        for (let index = 0; index < 5; index++) {
            commit.add({ record: record(2), isWanted: () => index !== 0 });
        }
        await scheduler.advanceAsync(90);
        expect(batches).toEqual([1]);
        await scheduler.advanceAsync(10);
        expect(batches).toEqual([1, 4]);
    });

    test("nine busy VMs share the budget", async () => {
        const { perSecond, maxWaitMs } = await run(9, 15, 3);
        expect(perSecond.slice(1).every(count => count <= budgetPerSecond)).toEqual(true);
        expect(perSecond.slice(1).every(count => count > budgetPerSecond / 2)).toEqual(true);
        expect(maxWaitMs < 200).toEqual(true);
    });

    test("thirty busy VMs share the same budget and wait longer", async () => {
        const { perSecond, maxWaitMs } = await run(30, 50, 3);
        expect(perSecond.slice(1).every(count => count <= budgetPerSecond)).toEqual(true);
        expect(maxWaitMs < 2_000).toEqual(true);
    });

    test("few appends of many VMs are not held back", async () => {
        const { maxWaitMs } = await run(20, 5_000, 6);
        expect(maxWaitMs < 20).toEqual(true);
    });
});
