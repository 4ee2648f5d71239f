import { expect } from "earl";
import { afterEach, test } from "node:test";
import { until } from "../../../../proof/fakes/until.js";
import { SwallowingProxy } from "../../../../standins/proxy/SwallowingProxy.js";
import { VmListStandin } from "../../../../standins/vmlist/VmListStandin.js";
import { SystemScheduler } from "../../timers/SystemScheduler.js";
import { HttpVmListClient } from "./HttpVmListClient.js";
import { VmListTask } from "./VmListTask.js";

let stop = new AbortController();

afterEach(() => {
    stop.abort();
    stop = new AbortController();
});

const vm = { vm: "vm-1", availabilityZone: "nadi", peerUrl: "ws://127.0.0.1:1/peer", leaving: false };

function nextChange(task: VmListTask): Promise<ReadonlySet<string>> {
    return new Promise(resolve => {
        task.onChange(resolve, stop.signal);
    });
}

test("VMs and leaving upstreams appear in the list only after its lag", { timeout: 10_000 }, async () => {
    let timeMs = 0;
    const standin = new VmListStandin(500, () => timeMs);
    const client = new HttpVmListClient(await standin.start(stop.signal));
    standin.setVm(vm);
    standin.setUpstream("engine-3", true);
    expect((await client.fetch(stop.signal))._unsafeUnwrap()).toEqual({ vms: [], upstreams: [] });
    timeMs = 600;
    expect((await client.fetch(stop.signal))._unsafeUnwrap()).toEqual({ vms: [vm], upstreams: [{ id: "engine-3", leaving: true }] });
});

test(
    "a connection to the platform that stops responding is discarded, and the next poll opens a new one",
    { timeout: 10_000 },
    async () => {
        const standin = new VmListStandin();
        const port = Number(new URL(await standin.start(stop.signal)).port);
        const proxy = new SwallowingProxy(port);
        const client = new HttpVmListClient(`http://127.0.0.1:${await proxy.start(stop.signal)}`, 100);
        const task = new VmListTask({ client, scheduler: new SystemScheduler(), periodMs: 20 });
        // The first call opens the connection, which can take longer than the client's timeout on a busy machine.
        await until(async () => (await client.fetch(stop.signal)).isOk());
        proxy.swallow("both");
        standin.setUpstream("engine-3", true);
        const change = nextChange(task);
        task.start(stop.signal);
        expect([...await change]).toEqual(["engine-3"]);
        expect(task.isLeaving("engine-3")).toEqual(true);
        expect(task.isLeaving("engine-4")).toEqual(false);
    },
);

test("the last list stays in use while the platform is down", { timeout: 10_000 }, async () => {
    const standin = new VmListStandin();
    const url = await standin.start(stop.signal);
    standin.setUpstream("engine-3", true);
    const client = new HttpVmListClient(url, 100);
    const task = new VmListTask({ client, scheduler: new SystemScheduler(), periodMs: 20 });
    const change = nextChange(task);
    task.start(stop.signal);
    await change;
    await fetch(`${url}/_standin/faults`, { method: "POST", body: JSON.stringify({ kind: "down" }) });
    expect((await client.fetch(stop.signal)).isErr()).toEqual(true);
    expect(task.isLeaving("engine-3")).toEqual(true);
});
