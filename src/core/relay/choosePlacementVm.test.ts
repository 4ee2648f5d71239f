import { expect } from "earl";
import { test } from "node:test";
import type { Member } from "../membership/Member.js";
import { choosePlacementVm } from "./choosePlacementVm.js";

const createMembers = (count: number, state: Member["state"] = "ready"): Member[] =>
    [...Array(count).keys()].map(index => ({
        vm: `vm-${index}`,
        incarnation: "1",
        availabilityZone: "z1",
        region: "r",
        peerUrl: "ws://vm",
        processorShare: 1,
        state,
        configOffset: 0,
    }));

test("no placement VM is chosen in a small fleet or while no VM is ready", () => {
    expect([choosePlacementVm("llm", createMembers(24)), choosePlacementVm("llm", createMembers(60, "starting"))]).toEqual([
        undefined,
        undefined,
    ]);
});

test("another VM is chosen when the placement VM drains or is gone", () => {
    const members = createMembers(60);
    const first = choosePlacementVm("llm", members);
    const draining = members.map(member => member.vm === first ? { ...member, state: "draining" as const } : member);
    const gone = members.filter(member => member.vm !== first);
    const next = choosePlacementVm("llm", draining);
    expect([first === undefined, next === first, next === choosePlacementVm("llm", gone)]).toEqual([false, false, true]);
});

test("the placement VMs of many services spread over the fleet", () => {
    const vms = [...Array(20).keys()].map(index => choosePlacementVm(`service-${index}`, createMembers(60)));
    expect(new Set(vms).size > 10).toEqual(true);
});
