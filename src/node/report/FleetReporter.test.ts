import { expect } from "earl";
import { beforeEach, describe, test } from "node:test";
import { VirtualScheduler } from "../../core/util/VirtualScheduler.js";
import { ServiceClass } from "../../schema/config/ServiceClass.js";
import { EventRing } from "../explain/EventRing.js";
import { FakeConfigService } from "../operator/testing/FakeConfigService.js";
import { FleetReporter } from "./FleetReporter.js";
import { IntervalPublisher } from "./IntervalPublisher.js";
import { ServiceLevelRecorder } from "./ServiceLevelRecorder.js";
import { createRequestSummary } from "./testing/createRequestSummary.js";
import { FakeFleet } from "./testing/FakeFleet.js";

const signal = new AbortController().signal;
const minuteMs = 60_000;
const dayMs = 86_400_000;

describe("FleetReporter", () => {
    let scheduler: VirtualScheduler;
    let fleet: FakeFleet;
    const vms = ["nadi-1", "ba-1", "lautoka-1"];

    beforeEach(() => {
        scheduler = new VirtualScheduler(10 * dayMs);
        fleet = new FakeFleet(vms);
    });

    function startVm(vm: string) {
        const config = new FakeConfigService();
        const urgent = ServiceClass.parse({ name: "urgent", tier: 0, firstTokenTargetMs: 450, tokenGapTargetMs: 35 });
        config.view = { ...config.view, serviceClasses: new Map([["urgent", urgent]]) };
        const incarnation = `${vm}-1`;
        const recorder = new ServiceLevelRecorder({ vm, config, events: new EventRing(65_536), scheduler });
        const common = { vm, incarnation, recorder, config, membership: fleet, peers: fleet.createLinks(vm), log: fleet, scheduler };
        const publisher = new IntervalPublisher({ ...common, publishIntervalMs: minuteMs });
        const reporter = new FleetReporter(common);
        recorder.start(signal);
        publisher.start(signal);
        reporter.start(signal);
        return { recorder, publisher, reporter };
    }

    async function counts(reporter: FleetReporter, sinceMs = 3 * dayMs) {
        const report = await reporter.report(sinceMs, signal);
        const [level] = report.levels;
        return { good: level?.good ?? 0, bad: level?.bad ?? 0, silentVms: report.silentVms, logRead: report.logRead };
    }

    test("live VMs are summed up to now, the running minute included", async () => {
        const started = vms.map(startVm);
        started.forEach(({ recorder }, index) => {
            recorder.requestEnded(createRequestSummary({ firstTokenMs: index === 0 ? 451 : 40 }));
        });
        expect(await counts(started[1]!.reporter)).toEqual({ good: 2, bad: 1, silentVms: [], logRead: true });
    });

    test("a lost VM keeps what it had published, and loses the rest", async () => {
        const [first, lost] = vms.map(startVm);
        lost!.recorder.requestEnded(createRequestSummary());
        await scheduler.advanceAsync(2 * minuteMs);
        lost!.recorder.requestEnded(createRequestSummary());
        fleet.silent.add("ba-1");
        expect(await counts(first!.reporter)).toEqual({ good: 1, bad: 0, silentVms: ["ba-1"], logRead: true });
        await lost!.publisher.flush(signal);
        expect((await counts(first!.reporter)).good).toEqual(2);
    });

    test("an append whose answer is lost is made again and counted once; a refused one is not lost", async () => {
        const [first, second] = vms.map(startVm);
        fleet.appendFaults.push({ kind: "unknown", landed: true }, { kind: "unknown", landed: false }, {
            kind: "not-appended",
            landed: false,
        });
        for (let minute = 0; minute < 5; minute++) {
            second!.recorder.requestEnded(createRequestSummary());
            await scheduler.advanceAsync(minuteMs);
        }
        await scheduler.advanceAsync(minuteMs);
        fleet.silent.add("ba-1");
        expect((await counts(first!.reporter)).good).toEqual(5);
    });

    test("copies are known after their minutes have moved to hours, for a reader that starts late", async () => {
        const [first, second] = vms.map(startVm);
        second!.recorder.requestEnded(createRequestSummary());
        await scheduler.advanceAsync(2 * minuteMs);
        const [record] = fleet.records;
        fleet.records.push(...[1, 2, 3, 4].map(offset => ({ offset, payload: record!.payload })));
        await scheduler.advanceAsync(600 * minuteMs);
        fleet.silent.add("ba-1");
        expect((await counts(first!.reporter)).good).toEqual(1);
    });

    test("a log that is down or has forgotten leaves the live counts and says so", async () => {
        const [first, second] = vms.map(startVm);
        first!.recorder.requestEnded(createRequestSummary());
        fleet.isLogDown = true;
        expect(await counts(first!.reporter)).toEqual({ good: 1, bad: 0, silentVms: [], logRead: false });
        fleet.isLogDown = false;
        fleet.firstOffset = 7;
        fleet.records.push({ offset: 7, payload: new TextEncoder().encode("garbage") });
        second!.recorder.requestEnded(createRequestSummary());
        expect(await counts(first!.reporter)).toEqual({ good: 2, bad: 0, silentVms: [], logRead: true });
    });

    test("what is older than the span is left out", async () => {
        const [first] = vms.map(startVm);
        first!.recorder.requestEnded(createRequestSummary());
        await scheduler.advanceAsync(30 * minuteMs);
        first!.recorder.requestEnded(createRequestSummary());
        expect((await counts(first!.reporter, 10 * minuteMs)).good).toEqual(1);
        expect((await counts(first!.reporter)).good).toEqual(2);
    });

    test("a request without a class or path, or refused for its own fault, is no event", async () => {
        const [first] = vms.map(startVm);
        first!.recorder.requestEnded(createRequestSummary({ serviceClass: "nobody" }));
        first!.recorder.requestEnded(createRequestSummary({ path: undefined }));
        first!.recorder.requestEnded(createRequestSummary({ isComplete: false, status: 404, errorCode: "x" }));
        expect(await counts(first!.reporter)).toEqual({ good: 0, bad: 0, silentVms: [], logRead: true });
    });
});
