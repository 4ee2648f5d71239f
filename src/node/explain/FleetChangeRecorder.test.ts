import { expect } from "earl";
import { test } from "node:test";
import type { Member } from "../../core/membership/Member.js";
import { VirtualScheduler } from "../../core/util/VirtualScheduler.js";
import { FakeConfigService } from "../operator/testing/FakeConfigService.js";
import { testConfigObjects } from "../operator/testing/testConfigObjects.js";
import { EventRing } from "./EventRing.js";
import { FleetChangeRecorder } from "./FleetChangeRecorder.js";

function createMember(vm: string, availabilityZone: string, change: Partial<Member> = {}): Member {
    return {
        vm,
        incarnation: "1",
        availabilityZone,
        region: "r",
        peerUrl: "ws://a",
        processorShare: 1,
        state: "ready",
        configOffset: 0,
        ...change,
    };
}

function startRecorder(initialMembers: readonly Member[]) {
    const ring = new EventRing(1_000_000);
    const config = new FakeConfigService();
    let listener: (members: readonly Member[]) => void = () => undefined;
    const membership = {
        members: initialMembers,
        onChange: (addedListener: typeof listener) => {
            listener = addedListener;
        },
    };
    const scheduler = new VirtualScheduler(5_000);
    new FleetChangeRecorder({ vm: "nadi-1", config, membership, events: ring, scheduler }).start(new AbortController().signal);
    const listRecorded = () =>
        ring.find(() => true, 100).map(({ kind, subject, facts }) => `${kind} ${subject} ${Object.values(facts).join(" ")}`);
    return { config, listRecorded, change: (members: readonly Member[]) => listener(members) };
}

test("records members that join, drain, restart and disappear, and a zone that loses its last VM", () => {
    const { listRecorded, change } = startRecorder([
        createMember("nadi-1", "nadi"),
        createMember("ba-1", "ba"),
        createMember("ba-2", "ba"),
    ]);
    change([
        createMember("nadi-1", "nadi", { state: "draining" }),
        createMember("ba-1", "ba", { incarnation: "2" }),
        createMember("ba-2", "ba", { configOffset: 9 }),
    ]);
    change([createMember("nadi-1", "nadi", { state: "draining" }), createMember("lautoka-1", "lautoka", { state: "starting" })]);
    expect(listRecorded()).toEqual([
        "drain nadi-1 nadi draining",
        "member ba-1 ba ready restarted or replaced",
        "member lautoka-1 lautoka starting seen",
        "member ba-1 ba gone",
        "member ba-2 ba gone",
        "zone ba no VM seen",
        "zone lautoka seen",
    ]);
});

test("records changed configuration objects and leaving upstreams, but no unchanged objects", async () => {
    const { config, listRecorded } = startRecorder([]);
    const [serviceClass, , pool] = testConfigObjects;
    await config.apply({ author: "", operations: [{ op: "put", object: serviceClass! }, { op: "put", object: pool! }] });
    const leaving = pool!.kind === "pool" ? pool!.value.upstreams.map(upstream => ({ ...upstream, leaving: true })) : [];
    await config.apply({
        author: "",
        operations: [{ op: "put", object: { kind: "pool", value: { ...pool!.value, upstreams: leaving } as never } }],
    });
    await config.apply({ author: "", operations: [{ op: "delete", kind: "serviceClass", name: "urgent" }] });
    expect(listRecorded()).toEqual([
        "config serviceClass urgent put 0",
        "config pool engines-old put 0",
        "config pool engines-old put 1",
        "upstream e1 engines-old true",
        "config serviceClass urgent deleted 2",
    ]);
});
