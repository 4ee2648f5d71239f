import { expect } from "earl";
import { test } from "node:test";
import type { Member } from "../membership/Member.js";
import { exampleMember } from "../membership/testing/exampleMember.js";
import { planForwarding } from "./planForwarding.js";

function createMembers(count: number, state: (index: number) => Member["state"] = () => "ready"): readonly Member[] {
    return [...Array(count).keys()].map(index => exampleMember(`vm-${index}`, { availabilityZone: `z${index % 5}`, state: state(index) }));
}

test("a VM of a small fleet sends to each other VM itself", () => {
    const groups = planForwarding("vm-3", createMembers(24));
    expect(groups.map(({ vms }) => vms.length)).toEqual(Array(23).fill(1));
});

for (const fleetSize of [25, 87, 195, 333]) {
    test(`in a fleet of ${fleetSize} VMs each is in one group of its zone, and groups are few and small`, () => {
        const members = createMembers(fleetSize);
        const groups = planForwarding("vm-3", members);
        expect(groups.flatMap(({ vms }) => vms).sort()).toEqual(members.map(({ vm }) => vm).filter(vm => vm !== "vm-3").sort());
        expect(groups.every(({ vms }) => new Set(vms.map(vm => Number(vm.slice(3)) % 5)).size === 1)).toEqual(true);
        expect(groups.every(({ vms }) => vms.length <= 24)).toEqual(true);
        expect(groups.length <= 15).toEqual(true);
    });
}

test("two VMs with one membership view do not send to themselves", () => {
    const members = createMembers(60);
    for (const self of ["vm-1", "vm-2"]) {
        expect(planForwarding(self, members).flatMap(({ vms }) => vms).includes(self)).toEqual(false);
    }
});

test("only ready VMs pass a message on, as long as there are any", () => {
    const members = createMembers(100, index => index % 10 < 5 ? "ready" : "starting");
    for (const { relays } of planForwarding("vm-3", members)) {
        expect(relays.every(relay => Number(relay.slice(3)) % 10 < 5)).toEqual(true);
    }
    const starting = planForwarding("vm-3", createMembers(100, () => "starting"));
    expect(starting.every(({ relays, vms }) => relays.length === vms.length)).toEqual(true);
});
