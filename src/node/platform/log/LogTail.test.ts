import { expect } from "earl";
import { describe, test } from "node:test";
import { FakeLog } from "../../../../proof/fakes/FakeLog.js";
import { VirtualScheduler } from "../../../core/util/VirtualScheduler.js";
import { LogTail } from "./LogTail.js";

describe("LogTail", () => {
    function follow() {
        const scheduler = new VirtualScheduler();
        const log = new FakeLog(scheduler);
        const client = log.client();
        const stop = new AbortController();
        const seen = { offsets: [] as number[], endCount: 0, forgotten: [] as number[], errorCount: 0 };
        let next = 0;
        const tail = new LogTail({
            log: client,
            scheduler,
            stream: "s",
            maxPollWaitMs: 2_000,
            nextOffset: () => next,
            onRecords: records => {
                seen.offsets.push(...records.map(record => record.offset));
                next += records.length;
            },
            onCaughtUp: () => {
                seen.endCount++;
            },
            onTruncated: firstOffset => {
                seen.forgotten.push(firstOffset);
                next = firstOffset;
            },
            onError: () => {
                seen.errorCount++;
            },
        });
        return { scheduler, log, client, stop, seen, finished: tail.start(stop.signal) };
    }

    test("reads to the end, tells so each time, and goes on with new records until aborted", async () => {
        const { scheduler, log, seen, stop, finished } = follow();
        log.land("s", new Uint8Array(1));
        await scheduler.advanceAsync(100);
        log.land("s", new Uint8Array(1));
        await scheduler.advanceAsync(10_000);
        expect(seen).toEqual({ offsets: [0, 1], endCount: 2, forgotten: [], errorCount: 0 });
        stop.abort();
        await scheduler.advanceAsync(10_000);
        await finished;
    });

    test("an empty answer that was held up is not the end of the stream", async () => {
        const { scheduler, log, client, seen, stop } = follow();
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
        expect([seen.offsets, seen.endCount]).toEqual([[], 0]);
        await scheduler.advanceAsync(100);
        expect([seen.offsets, seen.endCount]).toEqual([[0], 1]);
        stop.abort();
    });

    test("retries with a growing pause while the log is down", async () => {
        const { scheduler, client, seen, stop } = follow();
        client.isDown = true;
        await scheduler.advanceAsync(10_000);
        expect(seen.errorCount > 8 && seen.errorCount < 20).toEqual(true);
        client.isDown = false;
        await scheduler.advanceAsync(2_000);
        expect(seen.endCount).toEqual(1);
        stop.abort();
    });

    test("tells what the log forgot and goes on where its reader says", async () => {
        const { scheduler, log, seen, stop } = follow();
        log.land("s", new Uint8Array(1));
        log.land("s", new Uint8Array(1));
        log.forget("s", 1);
        await scheduler.advanceAsync(1_000);
        expect([seen.forgotten, seen.offsets]).toEqual([[1], [1]]);
        stop.abort();
    });
});
