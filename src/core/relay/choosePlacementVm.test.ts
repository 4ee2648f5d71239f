import { expect } from "earl";
import { test } from "node:test";
import type { Member } from "../membership/Member.js";
import { choosePlacementVm } from "./choosePlacementVm.js";

const fleet = (count: number, state: Member["state"] = "ready"): Member[] =>
    [...Array(count).keys()].map(index => ({
        vm: `vm-${index}`,
        incarnation: "1",
        availabilityZone: "z1",
        region: "r",
        peerUrl: "ws://vm",
        state,
        configOffset: 0,
    }));

test("no VM places for others in a small fleet, nor while none is ready", () => {
    expect([choosePlacementVm("llm", fleet(24)), choosePlacementVm("llm", fleet(60, "starting"))]).toEqual([undefined, undefined]);
});

test("another VM takes over when the one that places drains or is gone", () => {
    const members = fleet(60);
    const first = choosePlacementVm("llm", members);
    const draining = members.map(member => member.vm === first ? { ...member, state: "draining" as const } : member);
    const gone = members.filter(member => member.vm !== first);
    const next = choosePlacementVm("llm", draining);
    expect([first === undefined, next === first, next === choosePlacementVm("llm", gone)]).toEqual([false, false, true]);
});

test("services are placed by different VMs", () => {
    const vms = [...Array(20).keys()].map(index => choosePlacementVm(`service-${index}`, fleet(60)));
    expect(new Set(vms).size > 10).toEqual(true);
});
