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
    const tasks = vms.map((vm, index) => {
        const task = new RegistryTask({
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
            random: () => index * 0.37 % 1,
            onListed: entries => {
                found.set(vm, entries.length);
            },
        });
        task.start(controller.signal);
        return task;
    });
    const setKnown = (next: typeof knownTo) => {
        known = next;
    };
    return { scheduler, state, announced, found, setKnown, tasks };
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

// Guards against a registry that stays empty after the platform's log came back from an older copy.
test("VMs that have announced themselves do so again after a restore, once and each at a moment of its own", async () => {
    const { scheduler, announced, tasks } = startFleet(195, vms => vms);
    await scheduler.advanceAsync(5_000);
    for (const task of tasks) {
        task.recordLoss();
        task.recordLoss();
    }
    const again = () => announced.length - 5;
    await scheduler.advanceAsync(0);
    expect(again()).toEqual(0);
    const counts: number[] = [];
    for (let step = 0; step < 11; step++) {
        await scheduler.advanceAsync(100);
        counts.push(again());
    }
    expect([counts.at(-1), Math.max(...counts.map((count, index) => count - (counts[index - 1] ?? 0))) <= 2]).toEqual([5, true]);
});

test("a registry that has lost its entries makes no VM forget those that it has found there", async () => {
    const { scheduler, announced, found } = startFleet(3, (...[, vm]) => [vm]);
    await scheduler.advanceAsync(8_000);
    announced.length = 0;
    await scheduler.advanceAsync(3_100);
    expect([...found.values()]).toEqual([2, 2, 2]);
});
