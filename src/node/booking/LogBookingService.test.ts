import { expect } from "earl";
import { afterEach, beforeEach, describe, test } from "node:test";
import { FakeLog } from "../../../proof/fakes/FakeLog.js";
import type { FakeLogClient } from "../../../proof/fakes/FakeLogClient.js";
import { VirtualScheduler } from "../../core/util/VirtualScheduler.js";
import { BookingSettings } from "../../schema/settings/BookingSettings.js";
import type { BookingResponse } from "../services/BookingResponse.js";
import { BookingSendError } from "./BookingSendError.js";
import { LogBookingService } from "./LogBookingService.js";

const call = { customer: "vatukoula", key: "callout-17", digest: "POST /callouts 1", hasUpstreamDeduplication: false };
const neverAborted = new AbortController().signal;

function createResponse(text: string): BookingResponse {
    return { status: 201, contentType: "text/plain", body: new TextEncoder().encode(text) };
}

describe("LogBookingService", () => {
    let scheduler: VirtualScheduler;
    let log: FakeLog;
    let stop: AbortController;
    let deadVms: Set<string>;
    let sends: string[];

    beforeEach(() => {
        scheduler = new VirtualScheduler();
        log = new FakeLog(scheduler);
        stop = new AbortController();
        deadVms = new Set();
        sends = [];
    });
    afterEach(() => {
        stop.abort();
    });

    function startVm(vm: string, incarnation = "1", signal = stop.signal): { service: LogBookingService; client: FakeLogClient; } {
        const client = log.client();
        const service = new LogBookingService({
            log: client,
            scheduler,
            settings: BookingSettings.parse({ answerMemoryBytes: 30 }),
            vm,
            incarnation,
            isAlive: name => !deadVms.has(name),
        });
        void service.start(signal);
        return { service, client };
    }

    /** Returns a `send` callback that responds after `durationMs` of virtual time. */
    function createSend(vm: string, durationMs = 10): () => Promise<BookingResponse> {
        return () => {
            sends.push(vm);
            return new Promise(resolve => {
                scheduler.after(durationMs, () => resolve(createResponse(`booked by ${vm}`)), neverAborted);
            });
        };
    }

    test("one call is sent for concurrent and repeated requests, and another VM replays its response", async () => {
        const a = startVm("a");
        const b = startVm("b");
        const first = a.service.run(call, createSend("a"), neverAborted);
        const joined = b.service.run(call, createSend("b"), neverAborted);
        await scheduler.advanceAsync(200);
        const replayed = b.service.run(call, createSend("b"), neverAborted);
        await scheduler.advanceAsync(200);
        for (const result of [await first, await joined, await replayed]) {
            expect(new TextDecoder().decode(result._unsafeUnwrap().body)).toEqual("booked by " + sends[0]!);
        }
        expect(sends.length).toEqual(1);
        expect(a.service.unfinishedCount + b.service.unfinishedCount).toEqual(0);
    });

    test("a repeated call on the other path joins the call in flight even while a third VM crashes, and a later one replays its response", async () => {
        const oldPathVm = startVm("a");
        const newPathVm = startVm("b");
        const crash = new AbortController();
        startVm("c", "1", crash.signal);
        const first = oldPathVm.service.run(call, createSend("old path", 500), neverAborted);
        await scheduler.advanceAsync(100);
        const during = newPathVm.service.run(call, createSend("new path"), neverAborted);
        crash.abort();
        deadVms.add("c");
        await scheduler.advanceAsync(1_000);
        const after = newPathVm.service.run(call, createSend("new path"), neverAborted);
        await scheduler.advanceAsync(100);
        const bodies = [await first, await during, await after].map(result => new TextDecoder().decode(result._unsafeUnwrap().body));
        expect(bodies).toEqual(["booked by old path", "booked by old path", "booked by old path"]);
        expect(sends).toEqual(["old path"]);
    });

    test("a key reused with a different digest is rejected", async () => {
        const { service } = startVm("a");
        void service.run(call, createSend("a"), neverAborted);
        await scheduler.advanceAsync(100);
        const other = service.run({ ...call, digest: "POST /callouts 2" }, createSend("a"), neverAborted);
        await scheduler.advanceAsync(100);
        expect((await other)._unsafeUnwrapErr().kind).toEqual("key-reused");
    });

    test("reports not-run after a bounded wait while the log is down, and runs the call once the log is back", async () => {
        const { service, client } = startVm("a");
        client.isDown = true;
        const refused = service.run(call, createSend("a"), neverAborted);
        await scheduler.advanceAsync(3_100);
        expect((await refused)._unsafeUnwrapErr().outcome).toEqual("not-run");
        client.isDown = false;
        const repeated = service.run(call, createSend("a"), neverAborted);
        await scheduler.advanceAsync(3_000);
        expect((await repeated).isOk()).toEqual(true);
        expect(sends.length).toEqual(1);
    });

    test("sends without a claim while the log is down if the upstream deduplicates", async () => {
        const { service, client } = startVm("a");
        client.isDown = true;
        const result = service.run({ ...call, hasUpstreamDeduplication: true }, createSend("a"), neverAborted);
        await scheduler.advanceAsync(3_100);
        expect((await result).isOk()).toEqual(true);
    });

    test("a claim appended to the log after its VM abandoned it neither runs the call nor blocks the key", async () => {
        const a = startVm("a");
        const b = startVm("b");
        a.client.appendFaults.push({ kind: "late", afterMs: 5_000 });
        for (let index = 0; index < 20; index++) {
            a.client.appendFaults.push({ kind: "refuse" });
        }
        const refused = a.service.run(call, createSend("a"), neverAborted);
        await scheduler.advanceAsync(4_000);
        expect((await refused)._unsafeUnwrapErr().outcome).toEqual("not-run");
        await scheduler.advanceAsync(10_000);
        const repeated = b.service.run(call, createSend("b"), neverAborted);
        await scheduler.advanceAsync(1_000);
        expect((await repeated).isOk()).toEqual(true);
        expect(sends).toEqual(["b"]);
    });

    test("reports unknown when the VM that won the claim crashed without recording an outcome", async () => {
        const crash = new AbortController();
        const a = startVm("a", "1", crash.signal);
        const b = startVm("b");
        void a.service.run(call, createSend("a", 60_000), neverAborted);
        await scheduler.advanceAsync(100);
        crash.abort();
        deadVms.add("a");
        const repeated = b.service.run(call, createSend("b"), neverAborted);
        await scheduler.advanceAsync(2_500);
        expect((await repeated)._unsafeUnwrapErr().outcome).toEqual("unknown");
        expect(sends).toEqual(["a"]);
    });

    test("a new VM rebuilds the claim table from the log and replays the response", async () => {
        const a = startVm("a");
        void a.service.run(call, createSend("a"), neverAborted);
        await scheduler.advanceAsync(200);
        const c = startVm("c");
        await scheduler.advanceAsync(100);
        const replayed = c.service.run(call, createSend("c"), neverAborted);
        await scheduler.advanceAsync(100);
        expect((await replayed).isOk()).toEqual(true);
        expect(sends).toEqual(["a"]);
    });

    test("a call that waits for its upstream may not start once its claim is too old", async () => {
        const { service } = startVm("a");
        let mayStart: () => boolean = () => true;
        const send = (mayStartCallback: () => boolean) => {
            mayStart = mayStartCallback;
            return new Promise<BookingResponse>(() => undefined);
        };
        void service.run(call, send, neverAborted);
        await scheduler.advanceAsync(60_000);
        expect(mayStart()).toEqual(true);
        await scheduler.advanceAsync(BookingSettings.parse({}).retentionMs / 2);
        expect(mayStart()).toEqual(false);
    });

    test("a response evicted from memory is read from the log, and reported as ran while the log is down", async () => {
        const { service, client } = startVm("a");
        const keys = ["k1", "k2", "k3", "k4"];
        for (const key of keys) {
            void service.run({ ...call, key }, createSend(key), neverAborted);
            await scheduler.advanceAsync(100);
        }
        const replayed = service.run({ ...call, key: "k1" }, createSend("again"), neverAborted);
        await scheduler.advanceAsync(100);
        expect(new TextDecoder().decode((await replayed)._unsafeUnwrap().body)).toEqual("booked by k1");
        client.isDown = true;
        const refused = service.run({ ...call, key: "k1" }, createSend("again"), neverAborted);
        await scheduler.advanceAsync(100);
        expect((await refused)._unsafeUnwrapErr().outcome).toEqual("ran");
        expect(sends).toEqual(keys);
    });

    test("a send that fails as not-run releases the key for another VM", async () => {
        const a = startVm("a");
        const b = startVm("b");
        const failed = a.service.run(call, () => Promise.reject(new BookingSendError("not-run", "no upstream")), neverAborted);
        await scheduler.advanceAsync(200);
        expect((await failed)._unsafeUnwrapErr().outcome).toEqual("not-run");
        const repeated = b.service.run(call, createSend("b"), neverAborted);
        await scheduler.advanceAsync(200);
        expect((await repeated).isOk()).toEqual(true);
    });

    test("a claim whose append response is lost is recognized by its nonce, and its call is sent only once", async () => {
        const { service, client } = startVm("a");
        client.appendFaults.push({ kind: "lose-answer" }, { kind: "repeat" });
        const result = service.run(call, createSend("a"), neverAborted);
        await scheduler.advanceAsync(100);
        expect((await result).isOk()).toEqual(true);
        await scheduler.advanceAsync(3_000);
        expect(sends.length).toEqual(1);
        expect(service.unfinishedCount).toEqual(0);
    });
});
