import { expect } from "earl";
import { test } from "node:test";
import { computeDutyRank } from "./computeDutyRank.js";
import type { Member } from "./Member.js";
import { selectCapableVms } from "./selectCapableVms.js";
import { exampleMember } from "./testing/exampleMember.js";

const createMember = (vm: string, processorShare: number, state: Member["state"] = "ready") => exampleMember(vm, { processorShare, state });

test("duties go to the VMs with the most processor time, in an order of their own for each duty", () => {
    const members = [...Array(40).keys()].map(index => createMember(`vm-${index}`, index % 10 === 0 ? 1.35 : 0.324));
    const ranks = members.map(({ vm }) => computeDutyRank("log-reader", vm, members));
    expect([...ranks].sort((left, right) => left - right)).toEqual([...Array(40).keys()]);
    expect([0, 10, 20, 30].every(index => (ranks[index] ?? 99) < 4)).toEqual(true);
    const firsts = new Set(
        [...Array(20).keys()].map(duty => members.findIndex(({ vm }) => computeDutyRank(`duty-${duty}`, vm, members) === 0)),
    );
    expect(firsts.size > 1).toEqual(true);
});

test("VMs of equal size are all candidates, and those that are not ready are none", () => {
    expect(selectCapableVms([createMember("a", 0.5), createMember("b", 0.675), createMember("c", 1, "draining")])).toEqual(["a", "b"]);
    expect(selectCapableVms([createMember("a", 0.5, "starting")])).toEqual([]);
    expect(computeDutyRank("log-reader", "a", [createMember("a", 0.5, "starting")])).toEqual(0);
});
