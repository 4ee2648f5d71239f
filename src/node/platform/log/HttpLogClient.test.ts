import { expect } from "earl";
import { afterEach, beforeEach, describe, test } from "node:test";
import { LogStandin } from "../../../../standins/log/LogStandin.js";
import { SystemScheduler } from "../../timers/SystemScheduler.js";
import { HttpLogClient } from "./HttpLogClient.js";

/** Long enough that a busy machine does not reach it. */
const patientMs = 20_000;
/** For calls that are meant to run into their timeout. */
const hastyMs = 50;
const never = new AbortController().signal;

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

    function client(availabilityZone = "nadi", timeoutMs = patientMs): HttpLogClient {
        const created = new HttpLogClient({
            url,
            availabilityZone,
            scheduler: new SystemScheduler(),
            appendTimeoutMs: timeoutMs,
            readMarginMs: timeoutMs,
        });
        created.start(stop.signal);
        return created;
    }

    function text(value: string): Uint8Array {
        return new TextEncoder().encode(value);
    }

    async function contents(): Promise<string[]> {
        const read = await client().read("s", 0, 0, never);
        return read._unsafeUnwrap().map(record => new TextDecoder().decode(record.payload));
    }

    test("appends and reads in order, and a waiting read gets the next record", async () => {
        const log = client();
        expect((await log.append("s", text("a"), never))._unsafeUnwrap()).toEqual(0);
        const waiting = log.read("s", 1, 5_000, never);
        expect((await log.append("s", text("b"), never))._unsafeUnwrap()).toEqual(1);
        expect((await waiting)._unsafeUnwrap().map(record => record.offset)).toEqual([1]);
        expect(await contents()).toEqual(["a", "b"]);
    });

    test("an append whose answer is lost is unknown and has landed", async () => {
        standin.setFaults({ loseAnswerCount: 1 });
        expect((await client("nadi", hastyMs).append("s", text("a"), never))._unsafeUnwrapErr().kind).toEqual("unknown");
        expect(await contents()).toEqual(["a"]);
    });

    test("an append that lands late is unknown", async () => {
        standin.setFaults({ landLateCount: 1, lateByMs: 100 });
        const log = client();
        expect((await client("nadi", hastyMs).append("s", text("late"), never))._unsafeUnwrapErr().kind).toEqual("unknown");
        const read = await log.read("s", 0, 5_000, never);
        expect(read._unsafeUnwrap().length).toEqual(1);
    });

    test("a repeated append lands twice", async () => {
        standin.setFaults({ repeatCount: 1 });
        await client().append("s", text("a"), never);
        expect(await contents()).toEqual(["a", "a"]);
    });

    test("a log that is down refuses reads, and an append there is not known to have failed", async () => {
        standin.setFaults({ isDown: true });
        expect((await client().append("s", text("a"), never))._unsafeUnwrapErr().kind).toEqual("unknown");
        expect((await client().read("s", 0, 0, never))._unsafeUnwrapErr().kind).toEqual("unavailable");
        standin.setFaults({});
        expect(await contents()).toEqual([]);
    });

    test("a closed port surely appended nothing", async () => {
        const closed = new HttpLogClient({ url: "http://127.0.0.1:1", availabilityZone: "nadi", scheduler: new SystemScheduler() });
        closed.start(stop.signal);
        expect((await closed.append("s", text("a"), never))._unsafeUnwrapErr().kind).toEqual("not-appended");
    });

    test("a slow log and a silent one are cut off after the timeout", async () => {
        standin.setFaults({ delayMs: 300 });
        expect((await client("nadi", hastyMs).append("s", text("a"), never))._unsafeUnwrapErr().kind).toEqual("unknown");
        standin.setFaults({ isSilent: true });
        expect((await client("nadi", hastyMs).read("s", 0, 0, never))._unsafeUnwrapErr().kind).toEqual("unavailable");
    });

    test("a forgotten offset names the first one that is held", async () => {
        const log = client();
        for (const value of ["a", "b", "c"]) {
            await log.append("s", text(value), never);
        }
        standin.setFaults({ keptRecords: 1 });
        const error = (await log.read("s", 0, 0, never))._unsafeUnwrapErr();
        expect([error.kind, error.firstOffset]).toEqual(["forgotten", 2]);
    });

    test("appends over the rate are refused and surely not appended", async () => {
        standin.setFaults({ appendsPerSecond: 1 });
        const log = client();
        await log.append("s", text("a"), never);
        expect((await log.append("s", text("b"), never))._unsafeUnwrapErr().kind).toEqual("not-appended");
    });

    test("only the named zones reach the log", async () => {
        standin.setFaults({ reachableZones: ["ba"] });
        expect((await client("nadi", hastyMs).read("s", 0, 0, never))._unsafeUnwrapErr().kind).toEqual("unavailable");
        expect((await client("ba").read("s", 0, 0, never)).isOk()).toEqual(true);
    });
});
