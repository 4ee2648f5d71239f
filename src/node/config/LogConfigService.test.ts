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

function createPutClassChange(name: string, tier: number, readRevision?: number): Change {
    const value = ServiceClass.parse({ name, tier, firstTokenTargetMs: 450, tokenGapTargetMs: 35 });
    return { author: "operator", operations: [{ op: "put", object: { kind: "serviceClass", value }, readRevision }] };
}

describe("LogConfigService", () => {
    let scheduler: VirtualScheduler;
    let log: FakeLog;
    let peers: FakePeers;
    let stopController: AbortController;
    let changeCount: number;

    beforeEach(() => {
        scheduler = new VirtualScheduler(1_000_000_000_000);
        log = new FakeLog(scheduler);
        peers = new FakePeers(scheduler);
        stopController = new AbortController();
        changeCount = 0;
    });
    afterEach(() => {
        stopController.abort();
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
        void service.start(stopController.signal);
        return { service, client };
    }

    test("a change is accepted once every zone has confirmed it", async () => {
        const vmA = startVm("a", "lautoka");
        const vmB = startVm("b", "nadi");
        await scheduler.advanceAsync(100);
        const applied = vmA.service.apply(createPutClassChange("urgent", 0), 4_000);
        await scheduler.advanceAsync(500);
        expect((await applied)._unsafeUnwrap()).toEqual({ status: "accepted", offset: 0, pendingZones: [] });
        expect(vmB.service.view.serviceClasses.get("urgent")?.tier).toEqual(0);
    });

    test("of ten concurrent changes with the same read revision, one is accepted and nine fail with a conflict", async () => {
        const vms = ["a", "b", "c"].map((vm, index) => startVm(vm, `zone-${index}`));
        await scheduler.advanceAsync(100);
        const created = vms[0]!.service.apply(createPutClassChange("urgent", 0), 4_000);
        await scheduler.advanceAsync(1_000);
        await created;
        const concurrentChanges = Array.from(
            { length: 10 },
            (...[, index]) => vms[index % 3]!.service.apply(createPutClassChange("urgent", index, 0), 4_000),
        );
        await scheduler.advanceAsync(5_000);
        const results = await Promise.all(concurrentChanges);
        expect(results.filter(result => result.isOk()).length).toEqual(1);
        expect(results.filter(result => result.isErr() && result.error.kind === "conflict").length).toEqual(9);
    });

    test("a change whose append response was lost is accepted once it is read back from the log", async () => {
        const vmA = startVm("a", "lautoka");
        await scheduler.advanceAsync(100);
        vmA.client.appendFaults.push({ kind: "lose-answer" });
        const applied = vmA.service.apply(createPutClassChange("urgent", 0), 4_000);
        await scheduler.advanceAsync(4_000);
        expect((await applied)._unsafeUnwrap().status).toEqual("accepted");
    });

    test("a delayed append that reaches the log after its retry does not take effect again", async () => {
        const vmA = startVm("a", "lautoka");
        await scheduler.advanceAsync(100);
        vmA.client.appendFaults.push({ kind: "late", afterMs: 3_000 });
        const applied = vmA.service.apply(createPutClassChange("urgent", 0), 4_000);
        await scheduler.advanceAsync(2_500);
        expect((await applied)._unsafeUnwrap().status).toEqual("accepted");
        const secondChange = vmA.service.apply(
            createPutClassChange("urgent", 5, vmA.service.findRevision("serviceClass", "urgent")),
            4_000,
        );
        await scheduler.advanceAsync(4_000);
        expect((await secondChange).isOk()).toEqual(true);
        expect(vmA.service.view.serviceClasses.get("urgent")?.tier).toEqual(5);
    });

    test("a zone that cannot reach the log gets changes from its peers", async () => {
        const vmA = startVm("a", "lautoka");
        const vmB = startVm("b", "nadi");
        await scheduler.advanceAsync(100);
        vmB.client.isDown = true;
        const applied = vmA.service.apply(createPutClassChange("urgent", 0), 4_000);
        await scheduler.advanceAsync(4_000);
        expect((await applied)._unsafeUnwrap().status).toEqual("accepted");
        expect(vmB.service.view.offset).toEqual(0);
    });

    test("a change stays pending while a zone is unreachable, and the result names the zone", async () => {
        const vmA = startVm("a", "lautoka");
        const vmB = startVm("b", "nadi");
        await scheduler.advanceAsync(1_000);
        vmB.client.isDown = true;
        peers.cut("nadi");
        const applied = vmA.service.apply(createPutClassChange("urgent", 0), 1_000);
        await scheduler.advanceAsync(2_000);
        expect((await applied)._unsafeUnwrap()).toEqual({ status: "pending", offset: 0, pendingZones: ["nadi"] });
    });

    test("a VM that cannot reach the log is not ready until it reaches a peer", async () => {
        const vmA = startVm("a", "lautoka");
        await scheduler.advanceAsync(100);
        void vmA.service.apply(createPutClassChange("urgent", 0), 4_000);
        await scheduler.advanceAsync(1_000);
        peers.cut("nadi");
        const vmB = startVm("b", "nadi");
        vmB.client.isDown = true;
        await scheduler.advanceAsync(3_000);
        expect(vmB.service.isReady).toEqual(false);
        peers.heal("nadi");
        await scheduler.advanceAsync(1_000);
        expect(vmB.service.isReady).toEqual(true);
        expect(vmB.service.view.serviceClasses.has("urgent")).toEqual(true);
    });

    test("a new VM starts from a snapshot when the log has truncated the first changes", async () => {
        const vmA = startVm("a", "lautoka");
        await scheduler.advanceAsync(100);
        for (let index = 0; index < 8; index++) {
            void vmA.service.apply(createPutClassChange(`class-${index}`, index), 1_000);
            await scheduler.advanceAsync(6_000);
        }
        log.forget("config", 2);
        peers.crash("a");
        const vmB = startVm("b", "nadi");
        await scheduler.advanceAsync(1_000);
        expect(vmB.service.isReady).toEqual(true);
        expect(vmB.service.view).toEqual(vmA.service.view);
    });

    test("an older snapshot appended after a newer one does not replace it", async () => {
        const vmA = startVm("a", "lautoka");
        await scheduler.advanceAsync(100);
        for (let index = 0; index < 8; index++) {
            void vmA.service.apply(createPutClassChange(`class-${index}`, index), 1_000);
            await scheduler.advanceAsync(6_000);
        }
        const snapshots = log.stream("config-snapshots").records;
        expect(snapshots.length > 1).toEqual(true);
        log.land("config-snapshots", snapshots[0]!.payload);
        log.forget("config", 2);
        peers.crash("a");
        const vmB = startVm("b", "nadi");
        await scheduler.advanceAsync(1_000);
        expect(vmB.service.view).toEqual(vmA.service.view);
    });

    test("a VM is not ready when the log has truncated changes and no snapshot exists", async () => {
        log.land("config", new Uint8Array());
        log.land("config", new Uint8Array());
        log.forget("config", 1);
        const { service } = startVm("a", "lautoka");
        await scheduler.advanceAsync(10_000);
        expect(service.isReady).toEqual(false);
    });

    test("malformed records and records of a newer format are skipped and counted, and later ones take effect", async () => {
        const { service } = startVm("a", "lautoka");
        await scheduler.advanceAsync(100);
        log.land("config", new TextEncoder().encode("{"));
        log.land("config", new TextEncoder().encode(`{"type":"change","formatVersion":2}`));
        const applied = service.apply(createPutClassChange("urgent", 0), 4_000);
        await scheduler.advanceAsync(1_000);
        expect((await applied)._unsafeUnwrap().offset).toEqual(2);
        expect(service.skippedRecordCount).toEqual(2);
    });

    test("a change that refers to a missing service class is refused with an error that names the remedy", async () => {
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
