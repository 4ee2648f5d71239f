import { expect } from "earl";
import { afterEach, beforeEach, describe, test } from "node:test";
import { LogStandin } from "../../../../standins/log/LogStandin.js";
import { SystemScheduler } from "../../timers/SystemScheduler.js";
import { HttpLogClient } from "./HttpLogClient.js";

/** Long enough not to expire on a busy machine. */
const longTimeoutMs = 20_000;
/** For calls that are expected to time out. */
const shortTimeoutMs = 50;
const neverAborted = new AbortController().signal;

describe("HttpLogClient", () => {
    let stop: AbortController;
    let standin: LogStandin;
    let url: string;

    beforeEach(async () => {
        stop = new AbortController();
        standin = new LogStandin();
        url = (await standin.start(stop.signal)).url;
    });
    afterEach(() => {
        stop.abort();
    });

    function createClient(availabilityZone = "nadi", timeoutMs = longTimeoutMs): HttpLogClient {
        const client = new HttpLogClient({
            url,
            availabilityZone,
            scheduler: new SystemScheduler(),
            appendTimeoutMs: timeoutMs,
            readMarginMs: timeoutMs,
        });
        client.start(stop.signal);
        return client;
    }

    function encode(value: string): Uint8Array {
        return new TextEncoder().encode(value);
    }

    async function readContents(): Promise<string[]> {
        const read = await createClient().read("s", 0, 0, neverAborted);
        return read._unsafeUnwrap().map(record => new TextDecoder().decode(record.payload));
    }

    test("records are read in append order, and a waiting read returns the next record", async () => {
        const log = createClient();
        expect((await log.append("s", encode("a"), neverAborted))._unsafeUnwrap()).toEqual(0);
        const waiting = log.read("s", 1, 5_000, neverAborted);
        expect((await log.append("s", encode("b"), neverAborted))._unsafeUnwrap()).toEqual(1);
        expect((await waiting)._unsafeUnwrap().map(record => record.offset)).toEqual([1]);
        expect(await readContents()).toEqual(["a", "b"]);
    });

    test("an append whose response is lost is unknown although the record is in the log", async () => {
        standin.setFaults({ loseAnswerCount: 1 });
        expect((await createClient("nadi", shortTimeoutMs).append("s", encode("a"), neverAborted))._unsafeUnwrapErr().kind).toEqual(
            "unknown",
        );
        expect(await readContents()).toEqual(["a"]);
    });

    test("an append that completes after the timeout is unknown", async () => {
        standin.setFaults({ landLateCount: 1, lateByMs: 100 });
        const log = createClient();
        expect((await createClient("nadi", shortTimeoutMs).append("s", encode("late"), neverAborted))._unsafeUnwrapErr().kind).toEqual(
            "unknown",
        );
        const read = await log.read("s", 0, 5_000, neverAborted);
        expect(read._unsafeUnwrap().length).toEqual(1);
    });

    test("an append that the log repeats is stored twice", async () => {
        standin.setFaults({ repeatCount: 1 });
        await createClient().append("s", encode("a"), neverAborted);
        expect(await readContents()).toEqual(["a", "a"]);
    });

    test("while the log is down a read is unavailable and an append is unknown", async () => {
        standin.setFaults({ isDown: true });
        expect((await createClient().append("s", encode("a"), neverAborted))._unsafeUnwrapErr().kind).toEqual("unknown");
        expect((await createClient().read("s", 0, 0, neverAborted))._unsafeUnwrapErr().kind).toEqual("unavailable");
        standin.setFaults({});
        expect(await readContents()).toEqual([]);
    });

    test("an append to a closed port is known not to be in the log", async () => {
        const closed = new HttpLogClient({ url: "http://127.0.0.1:1", availabilityZone: "nadi", scheduler: new SystemScheduler() });
        closed.start(stop.signal);
        expect((await closed.append("s", encode("a"), neverAborted))._unsafeUnwrapErr().kind).toEqual("not-appended");
    });

    test("calls to a slow log and to one that never responds end at the timeout", async () => {
        standin.setFaults({ delayMs: 300 });
        expect((await createClient("nadi", shortTimeoutMs).append("s", encode("a"), neverAborted))._unsafeUnwrapErr().kind).toEqual(
            "unknown",
        );
        standin.setFaults({ isSilent: true });
        expect((await createClient("nadi", shortTimeoutMs).read("s", 0, 0, neverAborted))._unsafeUnwrapErr().kind).toEqual("unavailable");
    });

    test("a read of a truncated offset reports the first retained offset", async () => {
        const log = createClient();
        for (const value of ["a", "b", "c"]) {
            await log.append("s", encode(value), neverAborted);
        }
        standin.setFaults({ keptRecords: 1 });
        const error = (await log.read("s", 0, 0, neverAborted))._unsafeUnwrapErr();
        expect([error.kind, error.firstOffset]).toEqual(["forgotten", 2]);
    });

    test("an append over the rate limit is rejected and known not to be in the log", async () => {
        standin.setFaults({ appendsPerSecond: 1 });
        const log = createClient();
        await log.append("s", encode("a"), neverAborted);
        expect((await log.append("s", encode("b"), neverAborted))._unsafeUnwrapErr().kind).toEqual("not-appended");
    });

    test("a VM outside the reachable availability zones cannot read the log", async () => {
        standin.setFaults({ reachableZones: ["ba"] });
        expect((await createClient("nadi", shortTimeoutMs).read("s", 0, 0, neverAborted))._unsafeUnwrapErr().kind).toEqual("unavailable");
        expect((await createClient("ba").read("s", 0, 0, neverAborted)).isOk()).toEqual(true);
    });
});
