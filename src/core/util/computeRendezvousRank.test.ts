import { expect } from "earl";
import { test } from "node:test";
import { computeRendezvousRank } from "./computeRendezvousRank.js";
import { selectByRendezvousHash } from "./selectByRendezvousHash.js";

test("ranks are unique, and the candidate with rank 0 is the one that selectByRendezvousHash selects", () => {
    const vms = [...Array(20).keys()].map(index => `vm-${index}`);
    const ranks = vms.map(vm => computeRendezvousRank("duty", vm, vms));
    expect([...ranks].sort((left, right) => left - right)).toEqual([...vms.keys()]);
    expect(vms[ranks.indexOf(0)]).toEqual(selectByRendezvousHash("duty", vms));
});
