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

const neverAborted = new AbortController().signal;
const budgetPerSecond = 300;

function createRecord(nonce: number): BookingRecord {
    return { type: "abandon", key: "k", nonce };
}

/**
 * Runs `vmCount` VMs that each add one record every `periodMs`. Returns the number of appends in each second and the longest time
 * from adding a record to its confirmed append.
 */
async function runVms(vmCount: number, periodMs: number, seconds: number): Promise<{ perSecond: number[]; maxWaitMs: number; }> {
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
            intervalMs: () => pacer.computeIntervalMs(scheduler.nowMs()),
        });
        commit.start(neverAborted);
        let nextOffset = 0;
        void new LogTail({
            log: client,
            scheduler,
            stream: "s",
            maxPollWaitMs: 10_000,
            nextOffset: () => nextOffset,
            onRecords: records => {
                for (const { offset, payload } of records) {
                    nextOffset = offset + 1;
                    pacer.observe(decodeBookingBatch(payload)._unsafeUnwrap().vm, scheduler.nowMs());
                }
            },
            onTruncated: () => undefined,
        }).start(neverAborted);
        scheduler.after(index * periodMs / vmCount, () => {
            scheduler.every(periodMs, () => {
                const addedMs = scheduler.nowMs();
                commit.add({
                    record: createRecord(0),
                    isWanted: () => true,
                    onAppended: () => {
                        maxWaitMs = Math.max(maxWaitMs, scheduler.nowMs() - addedMs);
                    },
                });
            }, neverAborted);
        }, neverAborted);
    }
    await scheduler.advanceAsync(seconds * 1_000);
    return { perSecond, maxWaitMs };
}

describe("GroupCommit", () => {
    test("a single VM appends its first record immediately and batches the records added during the interval", async () => {
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
        commit.start(neverAborted);
        commit.add({ record: createRecord(1), isWanted: () => true });
        await scheduler.advanceAsync(1);
        expect(batches).toEqual([1]);
        for (let index = 0; index < 5; index++) {
            commit.add({ record: createRecord(2), isWanted: () => index !== 0 });
        }
        await scheduler.advanceAsync(90);
        expect(batches).toEqual([1]);
        await scheduler.advanceAsync(10);
        expect(batches).toEqual([1, 4]);
    });

    test("nine busy VMs together stay within the append budget", async () => {
        const { perSecond, maxWaitMs } = await runVms(9, 15, 3);
        expect(perSecond.slice(1).every(count => count <= budgetPerSecond)).toEqual(true);
        expect(perSecond.slice(1).every(count => count > budgetPerSecond / 2)).toEqual(true);
        expect(maxWaitMs < 200).toEqual(true);
    });

    test("thirty busy VMs together stay within the same append budget, with longer waits", async () => {
        const { perSecond, maxWaitMs } = await runVms(30, 50, 3);
        expect(perSecond.slice(1).every(count => count <= budgetPerSecond)).toEqual(true);
        expect(maxWaitMs < 2_000).toEqual(true);
    });

    test("infrequent appends from many VMs are not delayed", async () => {
        const { maxWaitMs } = await runVms(20, 5_000, 6);
        expect(maxWaitMs < 20).toEqual(true);
    });
});
