import { expect } from "earl";
import { afterEach, beforeEach, describe, test } from "node:test";
import { FakeLog } from "../../../proof/fakes/FakeLog.js";
import type { FakeLogClient } from "../../../proof/fakes/FakeLogClient.js";
import { FakePeers } from "../../../proof/fakes/FakePeers.js";
import { VirtualScheduler } from "../../core/util/VirtualScheduler.js";
import { ServiceClass } from "../../schema/config/ServiceClass.js";
import { ConfigSettings } from "../../schema/settings/ConfigSettings.js";
import { LogConfigService } from "./LogConfigService.js";

type Change = Parameters<LogConfigService["apply"]>[0];

function putClass(name: string, tier: number, readRevision?: number): Change {
    const value = ServiceClass.parse({ name, tier, firstTokenTargetMs: 450, tokenGapTargetMs: 35 });
    return { author: "operator", operations: [{ op: "put", object: { kind: "serviceClass", value }, readRevision }] };
}

describe("LogConfigService", () => {
    let scheduler: VirtualScheduler;
    let log: FakeLog;
    let peers: FakePeers;
    let stop: AbortController;
    let changeCount: number;

    beforeEach(() => {
        scheduler = new VirtualScheduler(1_000_000_000_000);
        log = new FakeLog(scheduler);
        peers = new FakePeers(scheduler);
        stop = new AbortController();
        changeCount = 0;
    });
    afterEach(() => {
        stop.abort();
    });

    function startVm(vm: string, zone: string): { service: LogConfigService; client: FakeLogClient; } {
        const client = log.client();
        const service: LogConfigService = new LogConfigService({
            log: client,
            scheduler,
            settings: ConfigSettings.parse({ snapshotEveryRecords: 5 }),
            vm,
            membership: peers.membership(vm),
            links: peers.links(vm),
            uniqueId: () => `${vm}-${changeCount++}`,
        });
        peers.add(vm, zone, "1", () => service.view.offset, () => service.isReady);
        void service.start(stop.signal);
        return { service, client };
    }

    test("a change is accepted once every zone has it in force", async () => {
        const a = startVm("a", "lautoka");
        const b = startVm("b", "nadi");
        await scheduler.advanceAsync(100);
        const applied = a.service.apply(putClass("urgent", 0), 4_000);
        await scheduler.advanceAsync(500);
        expect((await applied)._unsafeUnwrap()).toEqual({ status: "accepted", offset: 0, pendingZones: [] });
        expect(b.service.view.serviceClasses.get("urgent")?.tier).toEqual(0);
    });

    test("of ten operators who read the same revision one is accepted and nine are told of the conflict", async () => {
        const vms = ["a", "b", "c"].map((vm, index) => startVm(vm, `zone-${index}`));
        await scheduler.advanceAsync(100);
        const created = vms[0]!.service.apply(putClass("urgent", 0), 4_000);
        await scheduler.advanceAsync(1_000);
        await created;
        const racing = Array.from({ length: 10 }, (...[, index]) => vms[index % 3]!.service.apply(putClass("urgent", index, 0), 4_000));
        await scheduler.advanceAsync(5_000);
        const results = await Promise.all(racing);
        expect(results.filter(result => result.isOk()).length).toEqual(1);
        expect(results.filter(result => result.isErr() && result.error.kind === "conflict").length).toEqual(9);
    });

    test("a publish whose answer was lost is found in the log", async () => {
        const a = startVm("a", "lautoka");
        await scheduler.advanceAsync(100);
        a.client.appendFaults.push({ kind: "lose-answer" });
        const applied = a.service.apply(putClass("urgent", 0), 4_000);
        await scheduler.advanceAsync(4_000);
        expect((await applied)._unsafeUnwrap().status).toEqual("accepted");
    });

    test("a publish repeated after a lost answer that lands late takes effect once", async () => {
        const a = startVm("a", "lautoka");
        await scheduler.advanceAsync(100);
        a.client.appendFaults.push({ kind: "late", afterMs: 3_000 });
        const applied = a.service.apply(putClass("urgent", 0), 4_000);
        await scheduler.advanceAsync(2_500);
        expect((await applied)._unsafeUnwrap().status).toEqual("accepted");
        const changed = a.service.apply(putClass("urgent", 5, a.service.findRevision("serviceClass", "urgent")), 4_000);
        await scheduler.advanceAsync(4_000);
        expect((await changed).isOk()).toEqual(true);
        expect(a.service.view.serviceClasses.get("urgent")?.tier).toEqual(5);
    });

    test("a zone that lost the log gets changes from its peers", async () => {
        const a = startVm("a", "lautoka");
        const b = startVm("b", "nadi");
        await scheduler.advanceAsync(100);
        b.client.isDown = true;
        const applied = a.service.apply(putClass("urgent", 0), 4_000);
        await scheduler.advanceAsync(4_000);
        expect((await applied)._unsafeUnwrap().status).toEqual("accepted");
        expect(b.service.view.offset).toEqual(0);
    });

    test("a change stays pending while a zone is cut off, and names the zone", async () => {
        const a = startVm("a", "lautoka");
        const b = startVm("b", "nadi");
        await scheduler.advanceAsync(1_000);
        b.client.isDown = true;
        peers.cut("nadi");
        const applied = a.service.apply(putClass("urgent", 0), 1_000);
        await scheduler.advanceAsync(2_000);
        expect((await applied)._unsafeUnwrap()).toEqual({ status: "pending", offset: 0, pendingZones: ["nadi"] });
    });

    test("without the log and without peers a VM is not ready; with a peer it is", async () => {
        const a = startVm("a", "lautoka");
        await scheduler.advanceAsync(100);
        void a.service.apply(putClass("urgent", 0), 4_000);
        await scheduler.advanceAsync(1_000);
        peers.cut("nadi");
        const b = startVm("b", "nadi");
        b.client.isDown = true;
        await scheduler.advanceAsync(3_000);
        expect(b.service.isReady).toEqual(false);
        peers.heal("nadi");
        await scheduler.advanceAsync(1_000);
        expect(b.service.isReady).toEqual(true);
        expect(b.service.view.serviceClasses.has("urgent")).toEqual(true);
    });

    test("a new VM starts from a snapshot when the log forgot the first changes", async () => {
        const a = startVm("a", "lautoka");
        await scheduler.advanceAsync(100);
        for (let index = 0; index < 8; index++) {
            void a.service.apply(putClass(`class-${index}`, index), 1_000);
            await scheduler.advanceAsync(6_000);
        }
        log.forget("config", 2);
        peers.crash("a");
        const b = startVm("b", "nadi");
        await scheduler.advanceAsync(1_000);
        expect(b.service.isReady).toEqual(true);
        expect(b.service.view).toEqual(a.service.view);
    });

    test("an older snapshot that was written later does not hide a newer one", async () => {
        const a = startVm("a", "lautoka");
        await scheduler.advanceAsync(100);
        for (let index = 0; index < 8; index++) {
            void a.service.apply(putClass(`class-${index}`, index), 1_000);
            await scheduler.advanceAsync(6_000);
        }
        const snapshots = log.stream("config-snapshots").records;
        expect(snapshots.length > 1).toEqual(true);
        log.land("config-snapshots", snapshots[0]!.payload);
        log.forget("config", 2);
        peers.crash("a");
        const b = startVm("b", "nadi");
        await scheduler.advanceAsync(1_000);
        expect(b.service.view).toEqual(a.service.view);
    });

    test("a VM is not ready when the log forgot changes and no snapshot is left", async () => {
        log.land("config", new Uint8Array());
        log.land("config", new Uint8Array());
        log.forget("config", 1);
        const { service } = startVm("a", "lautoka");
        await scheduler.advanceAsync(10_000);
        expect(service.isReady).toEqual(false);
    });

    test("malformed and newer records are skipped and counted, and later ones take effect", async () => {
        const { service } = startVm("a", "lautoka");
        await scheduler.advanceAsync(100);
        log.land("config", new TextEncoder().encode("{"));
        log.land("config", new TextEncoder().encode(`{"type":"change","formatVersion":2}`));
        const applied = service.apply(putClass("urgent", 0), 4_000);
        await scheduler.advanceAsync(1_000);
        expect((await applied)._unsafeUnwrap().offset).toEqual(2);
        expect(service.skippedRecordCount).toEqual(2);
    });

    test("a change that names a class that does not exist is refused with the remedy", async () => {
        const { service } = startVm("a", "lautoka");
        await scheduler.advanceAsync(100);
        const value = { name: "vatukoula", keyHashes: [], classes: ["urgent"], defaultClass: "urgent" };
        const applied = await service.apply(
            { author: "operator", operations: [{ op: "put", object: { kind: "customer", value } }] },
            1_000,
        );
        const error = applied._unsafeUnwrapErr();
        expect(error.kind).toEqual("invalid");
        expect(error.message.includes("create the class first")).toEqual(true);
    });
});
