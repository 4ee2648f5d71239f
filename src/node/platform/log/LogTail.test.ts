import { expect } from "earl";
import { describe, test } from "node:test";
import { FakeLog } from "../../../../proof/fakes/FakeLog.js";
import { VirtualScheduler } from "../../../core/util/VirtualScheduler.js";
import { LogTail } from "./LogTail.js";

describe("LogTail", () => {
    function startTail() {
        const scheduler = new VirtualScheduler();
        const log = new FakeLog(scheduler);
        const client = log.client();
        const stop = new AbortController();
        const seen = { offsets: [] as number[], caughtUpCount: 0, truncatedTo: [] as number[], errorCount: 0 };
        let nextOffset = 0;
        const tail = new LogTail({
            log: client,
            scheduler,
            stream: "s",
            maxPollWaitMs: 2_000,
            nextOffset: () => nextOffset,
            onRecords: records => {
                seen.offsets.push(...records.map(record => record.offset));
                nextOffset += records.length;
            },
            onCaughtUp: () => {
                seen.caughtUpCount++;
            },
            onTruncated: firstOffset => {
                seen.truncatedTo.push(firstOffset);
                nextOffset = firstOffset;
            },
            onError: () => {
                seen.errorCount++;
            },
        });
        return { scheduler, log, client, stop, seen, finished: tail.start(stop.signal) };
    }

    test("reports each time the end of the stream is reached, and continues with new records until aborted", async () => {
        const { scheduler, log, seen, stop, finished } = startTail();
        log.land("s", new Uint8Array(1));
        await scheduler.advanceAsync(100);
        log.land("s", new Uint8Array(1));
        await scheduler.advanceAsync(10_000);
        expect(seen).toEqual({ offsets: [0, 1], caughtUpCount: 2, truncatedTo: [], errorCount: 0 });
        stop.abort();
        await scheduler.advanceAsync(10_000);
        await finished;
    });

    test("an empty read result that arrives late, as after a pause of the VM, does not count as the end of the stream", async () => {
        const { scheduler, log, client, seen, stop } = startTail();
        let release: () => void = () => undefined;
        client.gate = () =>
            new Promise(resolve => {
                release = resolve;
            });
        await scheduler.advanceAsync(500);
        log.land("s", new Uint8Array(1));
        await scheduler.advanceAsync(5_000);
        client.gate = () => Promise.resolve();
        release();
        await scheduler.advanceAsync(0);
        expect([seen.offsets, seen.caughtUpCount]).toEqual([[], 0]);
        await scheduler.advanceAsync(100);
        expect([seen.offsets, seen.caughtUpCount]).toEqual([[0], 1]);
        stop.abort();
    });

    test("retries with increasing delays while the log is down", async () => {
        const { scheduler, client, seen, stop } = startTail();
        client.isDown = true;
        await scheduler.advanceAsync(10_000);
        expect(seen.errorCount > 8 && seen.errorCount < 20).toEqual(true);
        client.isDown = false;
        await scheduler.advanceAsync(2_000);
        expect(seen.caughtUpCount).toEqual(1);
        stop.abort();
    });

    test("reports the first retained offset of a truncated stream and continues at the offset its reader sets", async () => {
        const { scheduler, log, seen, stop } = startTail();
        log.land("s", new Uint8Array(1));
        log.land("s", new Uint8Array(1));
        log.forget("s", 1);
        await scheduler.advanceAsync(1_000);
        expect([seen.truncatedTo, seen.offsets]).toEqual([[1], [1]]);
        stop.abort();
    });
});
