import { expect } from "earl";
import { afterEach, beforeEach, describe, test } from "node:test";
import { LogBookingService } from "../../src/node/booking/LogBookingService.js";
import { HttpLogClient } from "../../src/node/platform/log/HttpLogClient.js";
import { SystemScheduler } from "../../src/node/timers/SystemScheduler.js";
import { BookingSettings } from "../../src/schema/settings/BookingSettings.js";
import { LogStandin } from "../../standins/log/LogStandin.js";

const zones = ["lautoka", "nadi", "ba"];
const keyCount = 20;
const never = new AbortController().signal;

describe("keyed calls over the log stand-in", () => {
    let stop: AbortController;
    let standin: LogStandin;
    let services: LogBookingService[];
    let sentKeys: string[];

    beforeEach(async () => {
        stop = new AbortController();
        standin = new LogStandin();
        const { url } = await standin.start(stop.signal);
        sentKeys = [];
        services = zones.map(zone => startVm(url, zone));
    });
    afterEach(() => {
        stop.abort();
    });

    function startVm(url: string, zone: string): LogBookingService {
        const scheduler = new SystemScheduler();
        const log = new HttpLogClient({ url, availabilityZone: zone, scheduler, appendTimeoutMs: 100, readMarginMs: 100 });
        log.start(stop.signal);
        const settings = BookingSettings.parse({ claimWaitMs: 20_000, joinWaitMs: 20_000 });
        const service = new LogBookingService({ log, scheduler, settings, vm: zone, incarnation: "1", isAlive: () => true });
        void service.start(stop.signal);
        return service;
    }

    async function callKey(service: LogBookingService, key: string): Promise<string> {
        const send = () => {
            sentKeys.push(key);
            return Promise.resolve({ status: 201, contentType: "text/plain", body: new TextEncoder().encode(`${key} ${sentKeys.length}`) });
        };
        const result = await service.run({ customer: "vatukoula", key, digest: key, hasUpstreamDeduplication: false }, send, never);
        return new TextDecoder().decode(result._unsafeUnwrap().body);
    }

    /** Calls each key on all VMs concurrently; each key must run once and give every VM the same answer. */
    async function expectOneRunPerKey(): Promise<void> {
        const keys = Array.from({ length: keyCount }, (...[, index]) => `key-${index}`);
        const answers = await Promise.all(keys.map(key => Promise.all(services.map(service => callKey(service, key)))));
        expect([...sentKeys].sort()).toEqual([...keys].sort());
        for (const [first, ...others] of answers) {
            expect(others).toEqual(others.map(() => first ?? ""));
        }
    }

    test("each key runs once when it is called in three availability zones concurrently", async () => {
        await expectOneRunPerKey();
    });

    test("each key runs once when answers from the log are lost after the append", async () => {
        standin.setFaults({ loseAnswerCount: 6 });
        await expectOneRunPerKey();
    });

    test("each key runs once when appends land after their timeout", async () => {
        standin.setFaults({ landLateCount: 3, lateByMs: 250 });
        await expectOneRunPerKey();
    });

    test("each key runs once when the log stores an append twice", async () => {
        standin.setFaults({ repeatCount: 50 });
        await expectOneRunPerKey();
    });

    test("each key runs once when the log limits the append rate", async () => {
        standin.setFaults({ appendsPerSecond: 20 });
        await expectOneRunPerKey();
    });
});
