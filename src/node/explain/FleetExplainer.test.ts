import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { VirtualScheduler } from "../../core/util/VirtualScheduler.js";
import type { DecisionEvent } from "../../schema/explain/DecisionEvent.js";
import { FakeConfigService } from "../operator/testing/FakeConfigService.js";
import { FakeFleet } from "../report/testing/FakeFleet.js";
import { EventRing } from "./EventRing.js";
import { FleetExplainer } from "./FleetExplainer.js";

const signal = new AbortController().signal;
const vms = ["nadi-1", "ba-1", "lautoka-1"];

function startFleet() {
    const scheduler = new VirtualScheduler(1_000_000);
    const fleet = new FakeFleet(vms);
    const startedVms = vms.map(vm => {
        const ring = new EventRing(65_536);
        const explainer = new FleetExplainer({
            vm,
            ring,
            config: new FakeConfigService(),
            membership: fleet,
            peers: fleet.createLinks(vm),
            scheduler,
        });
        explainer.start(signal);
        const record = (atMs: number, kind: DecisionEvent["kind"], subject: string, facts: DecisionEvent["facts"] = {}) => {
            ring.record({ atMs, vm, kind, subject, serviceClass: "urgent", facts });
        };
        return { explainer, record };
    });
    return { fleet, startedVms, scheduler };
}

test("any VM finds a request's decisions on all VMs in chronological order, and lists a VM that does not reply", async () => {
    const { fleet, startedVms } = startFleet();
    startedVms[1]!.record(5, "received", "r1");
    startedVms[2]!.record(6, "granted", "r1", { upstream: "e2" });
    startedVms[1]!.record(7, "finished", "r1");
    startedVms[1]!.record(6, "received", "r2");
    const explanation = await startedVms[0]!.explainer.explain({ type: "request", requestId: "r1" }, signal);
    expect(explanation.events.map(event => `${event.vm} ${event.kind}`)).toEqual(["ba-1 received", "lautoka-1 granted", "ba-1 finished"]);
    fleet.silent.add("lautoka-1");
    const partial = await startedVms[0]!.explainer.explain({ type: "request", requestId: "r1" }, signal);
    expect([partial.events.length, partial.silentVms]).toEqual([2, ["lautoka-1"]]);
});

test("misses of a service class are counted by reason across all VMs, within the requested period", async () => {
    const { startedVms } = startFleet();
    startedVms[0]!.record(990_000, "judged", "r1", { missed: "shed" });
    startedVms[1]!.record(991_000, "judged", "r2", { missed: "first-token" });
    startedVms[2]!.record(992_000, "judged", "r3", { missed: "first-token" });
    startedVms[2]!.record(992_000, "judged", "r4", { verdict: "good" });
    startedVms[2]!.record(1, "judged", "r5", { missed: "first-token" });
    const explanation = await startedVms[0]!.explainer.explain({ type: "class", serviceClass: "urgent", sinceMs: 60_000 }, signal);
    expect(explanation.reasons).toEqual([
        { reason: "first-token", count: 2, exampleRequestIds: ["r2", "r3"] },
        { reason: "shed", count: 1, exampleRequestIds: ["r1"] },
    ]);
});

test("a VM's duties are explained from its own events and, when it does not reply, from other VMs' events about it", async () => {
    const { fleet, startedVms } = startFleet();
    startedVms[1]!.record(5, "handed-over", "shard engines/0", { to: "nadi-1" });
    startedVms[1]!.record(5, "granted", "r1");
    startedVms[2]!.record(9, "member", "ba-1", { state: "gone" });
    const explanation = await startedVms[0]!.explainer.explain({ type: "vm", vm: "ba-1" }, signal);
    expect(explanation.events.map(event => event.kind)).toEqual(["handed-over", "member"]);
    fleet.silent.add("ba-1");
    const later = await startedVms[0]!.explainer.explain({ type: "vm", vm: "ba-1" }, signal);
    expect([later.events.map(event => event.kind), later.silentVms]).toEqual([["member"], ["ba-1"]]);
});

test("the configuration offset of each VM is listed, with the time since which it is in force if the VM replies", async () => {
    const { fleet, startedVms } = startFleet();
    fleet.silent.add("ba-1");
    const { held } = await startedVms[0]!.explainer.explain({ type: "config" }, signal);
    expect(held.map(({ vm, configOffset, sinceAtMs }) => [vm, configOffset, sinceAtMs])).toEqual([
        ["nadi-1", -1, 1_000_000],
        ["ba-1", 3, undefined],
        ["lautoka-1", -1, 1_000_000],
    ]);
});

function measureBytes(event: DecisionEvent): number {
    const ring = new EventRing(1_000_000);
    ring.record(event);
    return ring.sizeBytes;
}

test("the ring keeps the latest events within its size limit and evicts only as many as necessary", () => {
    const text = fc.string({ maxLength: 40 });
    const event = fc.record({ subject: text, facts: fc.dictionary(text, fc.oneof(text, fc.double(), fc.boolean()), { maxKeys: 4 }) });
    fc.assert(
        fc.property(fc.integer({ min: 300, max: 4_000 }), fc.array(event, { maxLength: 60 }), (ringBytes, events) => {
            const ring = new EventRing(ringBytes);
            const all = events.map((fields, index): DecisionEvent => ({ atMs: index, vm: "nadi-1", kind: "queued", ...fields }));
            all.forEach(recordedEvent => {
                ring.record(recordedEvent);
            });
            const kept = ring.find(() => true, 1_000);
            const fitting = all.filter(recordedEvent => measureBytes(recordedEvent) <= ringBytes);
            expect(kept).toEqual(fitting.slice(fitting.length - kept.length));
            expect(ring.sizeBytes).toEqual(kept.reduce((sum, keptEvent) => sum + measureBytes(keptEvent), 0));
            expect(ring.sizeBytes <= ringBytes).toEqual(true);
            const dropped = fitting[fitting.length - kept.length - 1];
            const isFull = kept.length === Math.floor(ringBytes / 256);
            expect(dropped === undefined || isFull || ring.sizeBytes + measureBytes(dropped) > ringBytes).toEqual(true);
        }),
        { seed: 21, numRuns: 200 },
    );
});
