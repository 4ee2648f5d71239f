import { expect } from "earl";
import { test } from "node:test";
import { parseKnownRed } from "./parseKnownRed.js";

test("reads entries and skips comments and empty lines", () => {
    const entries = parseKnownRed("# comment\n\nnpm run x | 7 | p99 12 ms, bound 10 ms | issue 4\n");
    expect(entries).toEqual([{ command: "npm run x", seed: "7", seen: "p99 12 ms, bound 10 ms", issue: "issue 4" }]);
});

test("rejects a line without an issue", () => {
    expect(() => parseKnownRed("npm run x | 7 | slow")).toThrow("KNOWN-RED.txt");
});
