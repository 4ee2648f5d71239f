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
        const commonOptions = { vm, incarnation, recorder, config, membership: fleet, peers: fleet.createLinks(vm), log: fleet, scheduler };
        const publisher = new IntervalPublisher({ ...commonOptions, publishIntervalMs: minuteMs });
        const reporter = new FleetReporter(commonOptions);
        recorder.start(signal);
        publisher.start(signal);
        reporter.start(signal);
        return { recorder, publisher, reporter };
    }

    async function countRequests(reporter: FleetReporter, sinceMs = 3 * dayMs) {
        const report = await reporter.report(sinceMs, signal);
        const [level] = report.levels;
        return { good: level?.good ?? 0, bad: level?.bad ?? 0, silentVms: report.silentVms, logRead: report.logRead };
    }

    test("a report over live VMs includes the interval that is not closed yet", async () => {
        const startedVms = vms.map(startVm);
        startedVms.forEach(({ recorder }, index) => {
            recorder.requestEnded(createRequestSummary({ firstTokenMs: index === 0 ? 451 : 40 }));
        });
        expect(await countRequests(startedVms[1]!.reporter)).toEqual({ good: 2, bad: 1, silentVms: [], logRead: true });
    });

    test("a VM that stops replying is still counted with the intervals it had published, not with its unpublished ones", async () => {
        const [first, stopped] = vms.map(startVm);
        stopped!.recorder.requestEnded(createRequestSummary());
        await scheduler.advanceAsync(2 * minuteMs);
        stopped!.recorder.requestEnded(createRequestSummary());
        fleet.silent.add("ba-1");
        expect(await countRequests(first!.reporter)).toEqual({ good: 1, bad: 0, silentVms: ["ba-1"], logRead: true });
        await stopped!.publisher.flush(signal);
        expect((await countRequests(first!.reporter)).good).toEqual(2);
    });

    test("an interval is counted once when its append is retried after an unknown outcome or a rejection", async () => {
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
        expect((await countRequests(first!.reporter)).good).toEqual(5);
    });

    test("duplicate records are counted once by a reader that starts after the intervals were compacted to hours", async () => {
        const [first, second] = vms.map(startVm);
        second!.recorder.requestEnded(createRequestSummary());
        await scheduler.advanceAsync(2 * minuteMs);
        const [record] = fleet.records;
        fleet.records.push(...[1, 2, 3, 4].map(offset => ({ offset, payload: record!.payload })));
        await scheduler.advanceAsync(600 * minuteMs);
        fleet.silent.add("ba-1");
        expect((await countRequests(first!.reporter)).good).toEqual(1);
    });

    test("a report still counts live VMs when the log is unavailable, marked as not read, or has dropped old records", async () => {
        const [first, second] = vms.map(startVm);
        first!.recorder.requestEnded(createRequestSummary());
        fleet.isLogDown = true;
        expect(await countRequests(first!.reporter)).toEqual({ good: 1, bad: 0, silentVms: [], logRead: false });
        fleet.isLogDown = false;
        fleet.firstOffset = 7;
        fleet.records.push({ offset: 7, payload: new TextEncoder().encode("garbage") });
        second!.recorder.requestEnded(createRequestSummary());
        expect(await countRequests(first!.reporter)).toEqual({ good: 2, bad: 0, silentVms: [], logRead: true });
    });

    test("intervals older than the requested time range are left out", async () => {
        const [first] = vms.map(startVm);
        first!.recorder.requestEnded(createRequestSummary());
        await scheduler.advanceAsync(30 * minuteMs);
        first!.recorder.requestEnded(createRequestSummary());
        expect((await countRequests(first!.reporter, 10 * minuteMs)).good).toEqual(1);
        expect((await countRequests(first!.reporter)).good).toEqual(2);
    });

    test("a request with an unknown class, without a path or refused with a client error is not counted", async () => {
        const [first] = vms.map(startVm);
        first!.recorder.requestEnded(createRequestSummary({ serviceClass: "nobody" }));
        first!.recorder.requestEnded(createRequestSummary({ path: undefined }));
        first!.recorder.requestEnded(createRequestSummary({ isComplete: false, status: 404, errorCode: "x" }));
        expect(await countRequests(first!.reporter)).toEqual({ good: 0, bad: 0, silentVms: [], logRead: true });
    });
});
