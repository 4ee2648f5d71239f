import { expect } from "earl";
import { test } from "node:test";
import { parseKnownRed } from "./parseKnownRed.js";
import { toSkipPattern } from "./toSkipPattern.js";

test("exactly the listed tests are passed over", () => {
    const command = (name: string) => `node --test --test-name-pattern "${name}" a.test.ts | none | failed once | issue 4`;
    const pattern = toSkipPattern(
        parseKnownRed(`${command("all nine VMs")}\nnpm run x | 7 | slow | issue 4\n${command("reads slowly")}\n`),
    );
    const names = ["all nine VMs are replaced", "a caller that reads slowly", "npm run x", "all VMs"];
    expect(names.filter(name => new RegExp(pattern).test(name))).toEqual(["all nine VMs are replaced", "a caller that reads slowly"]);
    expect(toSkipPattern([])).toEqual("");
});
