import { expect } from "earl";
import { okAsync } from "neverthrow";
import { afterEach, beforeEach, test } from "node:test";
import { VirtualScheduler } from "../../core/util/VirtualScheduler.js";
import { configureLogging } from "../logs/configureLogging.js";
import { logOutput } from "../logs/logOutput.js";
import type { KeyedRecord } from "../services/KeyedRecord.js";
import { KeyedLogFollower } from "./KeyedLogFollower.js";
import { KeyedLogMonitor } from "./KeyedLogMonitor.js";

const originalWrite = logOutput.write;
let lines: Record<string, unknown>[] = [];

beforeEach(() => {
    lines = [];
    logOutput.write = line => lines.push(JSON.parse(line) as Record<string, unknown>);
    configureLogging({ format: "json", parts: "orioleshelf:follow" });
});

afterEach(() => {
    logOutput.write = originalWrite;
    configureLogging({ format: "plain", parts: "" });
});

const recordAt = (offset: number): KeyedRecord => ({ offset, key: `k${offset}`, value: undefined });
const linesThatStart = (text: string) => lines.filter(line => String(line["message"]).startsWith(text));

function createMonitor(logsRangesWithoutRecords = true) {
    const scheduler = new VirtualScheduler();
    const results: string[] = [];
    const monitor = new KeyedLogMonitor({
        name: "test",
        nowMs: () => scheduler.nowMs(),
        logsRangesWithoutRecords,
        onRead: result => results.push(`read ${result}`),
        onReceived: result => results.push(result),
    });
    return { monitor, scheduler, results };
}

/** A follower at the end of a log of three records. */
async function startFollower(rank: number) {
    const { monitor, scheduler, results } = createMonitor();
    const records: KeyedRecord[] = [0, 1, 2].map(recordAt);
    const controller = new AbortController();
    const follower = new KeyedLogFollower({
        name: "test",
        source: {
            readNewest: () => okAsync({ records: [...records], nextOffset: records.length, epoch: 0 }),
            readChanges: offset => okAsync({ records: records.slice(offset), nextOffset: records.length, epoch: 0 }),
        },
        scheduler,
        waitMs: 0,
        readPauseMs: 600,
        nextReadDueMs: () => undefined,
        startupDelayMs: 0,
        baseSilenceTimeoutMs: 1_100,
        silenceTimeoutPerRankMs: 100,
        requestSnapshot: () => Promise.resolve(undefined),
        snapshotWaitMs: 0,
        onRecords: applied => applied.slice(1),
        readerRank: () => rank,
        onRead: () => 86,
        onRestored: () => undefined,
        onOutage: () => undefined,
        onReadable: () => undefined,
        monitor,
    });
    void follower.run(controller.signal);
    await scheduler.advanceAsync(10);
    const append = () => {
        records.push(recordAt(records.length));
    };
    return { follower, scheduler, results, append, stop: () => controller.abort() };
}

test("a read with records is logged with its range, the records read and forwarded, and the number of VMs; empty reads are not", async () => {
    const { scheduler, append, results, stop } = await startFollower(0);
    await scheduler.advanceAsync(6_000);
    expect(linesThatStart("read forwarded")).toEqual([]);
    append();
    append();
    await scheduler.advanceAsync(600);
    stop();
    const [line, ...others] = linesThatStart("read forwarded");
    expect(others).toEqual([]);
    const { time, part, message, ...fields } = line ?? {};
    expect([typeof time, part, message]).toEqual(["string", "orioleshelf:follow", "read forwarded"]);
    expect(fields).toEqual({ stream: "test", fromOffset: 3, nextOffset: 5, readOffset: 3, records: 2, forwarded: 1, vms: 86 });
    expect([results.filter(result => result === "read records").length, results.includes("read empty")]).toEqual([2, true]);
});

test("a received read is logged only when it moves the position, with its sender and records", async () => {
    const { follower, results, stop } = await startFollower(9);
    follower.receiveFromPeer("vm-1", { epoch: 0, isWhole: false, fromOffset: 3, records: [], nextOffset: 3 });
    follower.receiveFromPeer("vm-1", { epoch: 0, isWhole: false, fromOffset: 1, records: [], nextOffset: 2 });
    follower.receiveFromPeer("vm-1", { epoch: 0, isWhole: false, fromOffset: 3, records: [], nextOffset: 4 });
    stop();
    expect(
        linesThatStart("read received").map(({ vm, fromOffset, nextOffset, position, records }) => ({
            vm,
            fromOffset,
            nextOffset,
            position,
            records,
        })),
    ).toEqual([{ vm: "vm-1", fromOffset: 3, nextOffset: 4, position: 3, records: 0 }]);
    expect(results.slice(1)).toEqual(["unchanged", "behind", "moved"]);
});

test("records outside the range that is forwarded, or before the position of the receiver, are not counted", () => {
    const { monitor } = createMonitor();
    const records = [recordAt(3), recordAt(4), recordAt(5)];
    const range = { fromOffset: 4, nextOffset: 6 };
    monitor.recordForwarded(range, { readOffset: 3, records, forwarded: [recordAt(3), recordAt(5)], vms: 86 });
    monitor.recordReceived("vm-1", { ...range, records }, 5);
    expect(lines.map(({ readOffset, position, records, forwarded }) => [readOffset, position, records, forwarded])).toEqual([
        [3, undefined, 2, 1],
        [undefined, 5, 1, undefined],
    ]);
});

test("a gap is logged once for each position, and the read after it names the gap as its reason", async () => {
    const { follower, scheduler, append, results, stop } = await startFollower(9);
    follower.receiveFromPeer("vm-1", { epoch: 0, isWhole: false, fromOffset: 3, records: [], nextOffset: 3 });
    append();
    append();
    for (let count = 0; count < 3; count++) {
        follower.receiveFromPeer("vm-1", { epoch: 0, isWhole: false, fromOffset: 4, records: [], nextOffset: 5 });
    }
    await scheduler.advanceAsync(800);
    stop();
    expect(linesThatStart("gap").map(({ vm, fromOffset, position }) => [vm, fromOffset, position])).toEqual([["vm-1", 4, 3]]);
    expect(results.filter(result => result === "gap").length).toEqual(3);
    expect(linesThatStart("started reading").map(({ reason, rank, nextOffset }) => [reason, rank, nextOffset])).toEqual([["gap", 9, 3]]);
});

test("a VM logs once that it started to read, with the reason, and once that it stopped", async () => {
    const { follower, scheduler, stop } = await startFollower(2);
    follower.receiveFromPeer("vm-1", { epoch: 0, isWhole: false, fromOffset: 3, records: [], nextOffset: 3 });
    await scheduler.advanceAsync(6_000);
    const started = linesThatStart("started reading");
    expect(started.map(({ reason, rank, nextOffset }) => [reason, rank, nextOffset])).toEqual([["no reader heard", 2, 3]]);
    expect(started[0]?.["heardMsAgo"]).toEqual(1_300);
    expect(linesThatStart("stopped reading")).toEqual([]);
    follower.receiveFromPeer("vm-1", { epoch: 0, isWhole: false, fromOffset: 3, records: [], nextOffset: 3 });
    await scheduler.advanceAsync(1_000);
    stop();
    expect(linesThatStart("stopped reading").map(({ vm, rank, nextOffset }) => [vm, rank, nextOffset])).toEqual([["vm-1", 2, 3]]);
    expect(linesThatStart("started reading").length).toEqual(1);

    const reader = await startFollower(0);
    await reader.scheduler.advanceAsync(3_000);
    reader.stop();
    expect(linesThatStart("started reading").map(line => line["reason"])).toEqual(["no reader heard", "first in rank"]);
});

test("in a stream whose entries are rewritten all the time, ranges without records are not logged", () => {
    const { monitor } = createMonitor(false);
    for (let offset = 0; offset < 100; offset++) {
        const range = { fromOffset: offset, nextOffset: offset + 1 };
        monitor.recordForwarded(range, { readOffset: offset, records: [recordAt(offset)], forwarded: [], vms: 86 });
        monitor.recordReceived("vm-1", { ...range, records: [] }, offset);
    }
    expect(lines).toEqual([]);
    const [records, range] = [[recordAt(100)], { fromOffset: 100, nextOffset: 101 }];
    monitor.recordForwarded(range, { readOffset: 100, records, forwarded: records, vms: 86 });
    monitor.recordReceived("vm-1", { ...range, records }, 100);
    expect(lines.map(line => line["message"])).toEqual(["read forwarded", "read received"]);
});

test("lines beyond a number a second are left out, and the next line tells how many", () => {
    const { monitor, scheduler, results } = createMonitor();
    for (let offset = 0; offset < 1_000; offset++) {
        monitor.recordReceived("vm-1", { fromOffset: offset, nextOffset: offset + 1, records: [recordAt(offset)] }, offset);
    }
    const writtenCount = lines.length;
    expect([writtenCount < 100, results.length]).toEqual([true, 1_000]);
    scheduler.advance(1_000);
    monitor.recordReceived("vm-1", { fromOffset: 1_000, nextOffset: 1_001, records: [recordAt(1_000)] }, 1_000);
    expect(lines.map(line => line["suppressedLines"]).filter(count => count !== undefined)).toEqual([1_000 - writtenCount]);
});

test("the time since a reader or the store was heard is known for each, and does not count reads that are behind", () => {
    const { monitor, scheduler } = createMonitor();
    expect([monitor.heardMsAgo("reader"), monitor.heardMsAgo("store")]).toEqual([undefined, undefined]);
    monitor.recordReceived("vm-1", { fromOffset: 4, nextOffset: 5, records: [recordAt(4)] }, 4);
    scheduler.advance(300);
    monitor.recordReceived("vm-2", { fromOffset: 3, nextOffset: 4, records: [recordAt(3)] }, 5);
    monitor.recordGap("vm-2", { fromOffset: 8, nextOffset: 9 }, 5);
    monitor.recordRead(0);
    scheduler.advance(200);
    expect([monitor.heardMsAgo("reader"), monitor.heardMsAgo("store")]).toEqual([500, 200]);
});
