import { expect } from "earl";
import { okAsync, ResultAsync } from "neverthrow";
import { test } from "node:test";
import { VirtualScheduler } from "../../core/util/VirtualScheduler.js";
import type { KeyedRecord } from "../services/KeyedRecord.js";
import type { ForwardedRead } from "./ForwardedRead.js";
import { KeyedLogFollower } from "./KeyedLogFollower.js";
import type { LogSnapshot } from "./LogSnapshot.js";
import { createTestMonitor } from "./testing/createTestMonitor.js";
import { simulateRestores } from "./testing/simulateRestores.js";

const record = (offset: number, key: string, value = key): KeyedRecord => ({ offset, key, value: Buffer.from(value) });

/** Creates a follower of a log that a test replaces as a whole. While `state.isHeld`, replies wait until the test calls them in `held`. */
function createFollower(
    log: { epoch: number; records: KeyedRecord[]; },
    rank = 0,
    snapshots: (LogSnapshot | undefined)[] = [],
    snapshotWaitMs = 0,
) {
    const scheduler = new VirtualScheduler();
    const applied: string[] = [];
    const forwarded: ForwardedRead[] = [];
    const state = { restores: 0, reads: 0, isHeld: false };
    const held: (() => void)[] = [];
    const answer = <T>(reply: T) => {
        state.reads++;
        return state.isHeld
            ? ResultAsync.fromSafePromise(new Promise<T>(resolve => held.push(() => resolve(reply))))
            : okAsync(reply);
    };
    const follower = new KeyedLogFollower({
        name: "test",
        source: {
            readNewest: () => answer({ records: [...log.records], nextOffset: log.records.length, epoch: log.epoch }),
            readChanges: offset => answer({ records: log.records.slice(offset), nextOffset: log.records.length, epoch: log.epoch }),
        },
        scheduler,
        waitMs: 0,
        readPauseMs: 500,
        nextReadDueMs: () => undefined,
        startupDelayMs: 0,
        baseSilenceTimeoutMs: 1_100,
        silenceTimeoutPerRankMs: 100,
        requestSnapshot: () => Promise.resolve(snapshots.shift()),
        snapshotWaitMs,
        readerRank: () => rank,
        onRecords: (records, { isWhole, isRestored }) => {
            applied.push(`${isWhole ? isRestored ? "restored" : "whole" : "changes"}: ${records.map(({ key }) => key).join()}`);
            return records;
        },
        onRead: (read, records) => {
            forwarded.push({ ...read, records });
            return 1;
        },
        onRestored: () => state.restores++,
        onOutage: () => undefined,
        onReadable: () => undefined,
        monitor: createTestMonitor(() => scheduler.nowMs()),
    });
    void follower.run(new AbortController().signal);
    return { follower, scheduler, applied, forwarded, state, held };
}

// Guards against records that are never read as they have the offsets of lost ones.
test("after a restore the reader takes the newest records, though its position exists again, and forwards them whole", async () => {
    const log = { epoch: 3, records: [record(0, "a"), record(1, "b"), record(2, "c")] };
    const { scheduler, applied, forwarded, state, follower } = createFollower(log);
    await scheduler.advanceAsync(1);
    log.epoch = 4;
    log.records = [record(0, "a"), record(1, "d"), record(2, "e"), record(3, "f")];
    await scheduler.advanceAsync(500);
    expect(applied).toEqual(["whole: a,b,c", "restored: a,d,e,f"]);
    expect(forwarded.map(({ epoch, isWhole, fromOffset, nextOffset }) => [epoch, isWhole, fromOffset, nextOffset])).toEqual([[
        4,
        true,
        0,
        4,
    ]]);
    expect([state.restores, follower.epoch, follower.nextOffset]).toEqual([1, 4, 4]);
});

test("a VM takes the newest records of a later epoch from the reader, and none of an earlier one", async () => {
    const { scheduler, applied, follower } = createFollower({ epoch: 3, records: [record(0, "a"), record(1, "b")] }, 9);
    await scheduler.advanceAsync(1);
    follower.receiveFromPeer("vm-1", { epoch: 4, isWhole: true, fromOffset: 0, nextOffset: 1, records: [record(0, "c")] });
    expect([follower.epoch, follower.nextOffset]).toEqual([4, 1]);
    follower.receiveFromPeer("vm-2", { epoch: 3, isWhole: false, fromOffset: 2, nextOffset: 9, records: [record(8, "late")] });
    follower.receiveFromPeer("vm-2", { epoch: 3, isWhole: true, fromOffset: 0, nextOffset: 9, records: [record(8, "late")] });
    follower.receiveFromPeer("vm-1", { epoch: 4, isWhole: false, fromOffset: 1, nextOffset: 2, records: [record(1, "d")] });
    expect([applied, follower.nextOffset]).toEqual([["whole: a,b", "restored: c", "changes: d"], 2]);
});

test("a VM that receives changes of a later epoch asks for the newest records, whatever the offsets", async () => {
    const snapshots = [{ epoch: 3, isRecent: true, nextOffset: 90, records: [] }, {
        epoch: 4,
        isRecent: true,
        nextOffset: 2,
        records: [record(1, "c")],
    }];
    const { scheduler, applied, follower, state } = createFollower({ epoch: 3, records: [record(0, "a"), record(1, "b")] }, 9, snapshots);
    await scheduler.advanceAsync(1);
    follower.receiveFromPeer("vm-1", { epoch: 4, isWhole: false, fromOffset: 2, nextOffset: 3, records: [record(2, "d")] });
    expect(follower.nextOffset).toEqual(undefined);
    await scheduler.advanceAsync(900);
    expect([applied, follower.nextOffset, state.reads]).toEqual([["whole: a,b", "restored: c"], 2, 1]);
});

test("a reply of an earlier epoch that arrives after a VM has learned of the later one is dropped", async () => {
    const log = { epoch: 3, records: [record(0, "a"), record(1, "b")] };
    const { scheduler, applied, follower, state, held } = createFollower(log);
    await scheduler.advanceAsync(1);
    state.isHeld = true;
    log.records = [...log.records, record(2, "late")];
    await scheduler.advanceAsync(500);
    state.isHeld = false;
    follower.receiveFromPeer("vm-1", { epoch: 4, isWhole: true, fromOffset: 0, nextOffset: 1, records: [record(0, "c")] });
    log.epoch = 4;
    log.records = [record(0, "c"), record(1, "d")];
    held.forEach(reply => reply());
    await scheduler.advanceAsync(600);
    expect(applied).toEqual(["whole: a,b", "restored: c", "changes: d"]);
});

test("a list that was read before another VM forwarded a newer one is dropped", async () => {
    const log = { epoch: 3, records: [record(0, "a")] };
    const { scheduler, applied, follower, state, held } = createFollower(log);
    await scheduler.advanceAsync(1);
    log.epoch = 4;
    log.records = [record(0, "b")];
    state.isHeld = true;
    await scheduler.advanceAsync(500);
    held.shift()?.();
    await scheduler.advanceAsync(1);
    state.isHeld = false;
    follower.receiveFromPeer("vm-1", { epoch: 4, isWhole: true, fromOffset: 0, nextOffset: 1, records: [record(0, "b"), record(1, "c")] });
    held.shift()?.();
    await scheduler.advanceAsync(1);
    expect(applied).toEqual(["whole: a", "restored: b,c"]);
});

test("a VM that starts applies what another one knew before the restore, and then the copy", async () => {
    const known = { epoch: 3, isRecent: false, nextOffset: 9, records: [record(8, "newer")] };
    const { scheduler, applied } = createFollower({ epoch: 4, records: [record(0, "copy")] }, 9, [known], 150);
    await scheduler.advanceAsync(149);
    expect(applied).toEqual([]);
    await scheduler.advanceAsync(101);
    expect(applied).toEqual(["whole: newer", "restored: copy"]);
});

test("a record that a list has older is given to other VMs as it is in force, at the offset of the list", async () => {
    const log = { epoch: 3, records: [record(0, "x"), record(1, "x"), record(2, "x")] };
    const { scheduler, follower } = createFollower(log);
    await scheduler.advanceAsync(1);
    expect(follower.getSnapshot()?.records).toEqual([record(2, "x")]);
    log.epoch = 4;
    log.records = [record(0, "x"), record(1, "y")];
    await scheduler.advanceAsync(500);
    expect(follower.getSnapshot()).toEqual({ epoch: 4, isRecent: true, nextOffset: 2, records: [record(0, "x"), record(1, "y")] });
});

for (const { vmCount, seeds } of [{ vmCount: 8, seeds: 40 }, { vmCount: 79, seeds: 8 }, { vmCount: 195, seeds: 2 }]) {
    test(`${vmCount} VMs keep what they know and miss nothing when the log comes back from a copy (${seeds} seeds)`, async () => {
        for (let seed = 1; seed <= seeds; seed++) {
            const { failures, adoptedMs } = await simulateRestores(seed, vmCount);
            expect([seed, failures]).toEqual([seed, []]);
            expect(adoptedMs.length).toBeGreaterThan(vmCount / 2);
        }
    });
}

// Fails on the seed, see KNOWN-RED.txt: a live upstream is removed for a moment by a VM that has not noticed yet that the store is away again.
test("a live upstream stays when the store goes away again within the grace period after a restore (seed 90)", async () => {
    expect((await simulateRestores(90, 8)).failures).toEqual([]);
});
