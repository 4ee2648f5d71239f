import { expect } from "earl";
import { errAsync, okAsync } from "neverthrow";
import { test } from "node:test";
import { exampleMember } from "../../core/membership/testing/exampleMember.js";
import { VirtualScheduler } from "../../core/util/VirtualScheduler.js";
import { RegistryTask } from "./RegistryTask.js";

/** Starts the tasks of VMs of which each knows those that `knownTo` returns for it. */
function startFleet(vmCount: number, knownTo: (vms: readonly string[], vm: string) => readonly string[]) {
    const scheduler = new VirtualScheduler();
    const controller = new AbortController();
    const state = { isDown: false, lists: 0 };
    const announced: string[] = [];
    const found = new Map<string, number>();
    const vms = [...Array(vmCount).keys()].map(index => `vm-${index}`);
    let known = knownTo;
    for (const vm of vms) {
        new RegistryTask({
            vm,
            availabilityZone: "z",
            peerUrl: `ws://${vm}`,
            registry: {
                announce: entry => {
                    announced.push(entry.vm);
                    return state.isDown ? errAsync({ kind: "unavailable", message: "", firstOffset: undefined }) : okAsync(undefined);
                },
                list: () => {
                    state.lists++;
                    return okAsync(
                        announced.map(name => ({ vm: name, availabilityZone: "z", peerUrl: "", processorShare: 1, leaving: false })),
                    );
                },
            },
            membership: {
                get members() {
                    return known(vms, vm).map(name => exampleMember(name));
                },
            },
            scheduler,
            onListed: entries => {
                found.set(vm, entries.length);
            },
        }).start(controller.signal);
    }
    const setKnown = (next: typeof knownTo) => {
        known = next;
    };
    return { scheduler, state, announced, found, setKnown };
}

test("only a few VMs of a large fleet announce themselves, and none lists the registry", async () => {
    const { scheduler, announced, state } = startFleet(195, vms => vms);
    await scheduler.advanceAsync(30_000);
    expect([announced.length, state.lists]).toEqual([5, 0]);
});

test("others announce themselves when those of the registry are gone", async () => {
    const { scheduler, announced, setKnown } = startFleet(50, vms => vms);
    await scheduler.advanceAsync(5_000);
    const gone = [...announced];
    setKnown(vms => vms.filter(vm => !gone.includes(vm)));
    await scheduler.advanceAsync(5_000);
    expect(new Set(announced).size).toEqual(10);
});

test("VMs that know no other announce themselves, again while the registry is down, and find each other there", async () => {
    const { scheduler, announced, state, found } = startFleet(3, (...[, vm]) => [vm]);
    state.isDown = true;
    await scheduler.advanceAsync(2_000);
    state.isDown = false;
    await scheduler.advanceAsync(6_000);
    expect([announced.length > 3, [...found.values()].every(count => count >= 2)]).toEqual([true, true]);
});
