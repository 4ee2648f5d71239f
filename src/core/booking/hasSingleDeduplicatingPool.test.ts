import { expect } from "earl";
import { test } from "node:test";
import { Pool } from "../../schema/config/Pool.js";
import { hasSingleDeduplicatingPool } from "./hasSingleDeduplicatingPool.js";

function createPool(name: string, path: "old" | "new", deduplicatesByKey: boolean): Pool {
    return Pool.parse({ name, path, kind: "plain", services: ["jobs"], upstreams: [], repeatable: false, deduplicatesByKey });
}

test("a service counts as deduplicating only if it has exactly one pool and that pool deduplicates", () => {
    expect(hasSingleDeduplicatingPool([createPool("old", "old", true)], "jobs")).toEqual(true);
    expect(hasSingleDeduplicatingPool([createPool("old", "old", false)], "jobs")).toEqual(false);
    expect(hasSingleDeduplicatingPool([createPool("old", "old", true), createPool("new", "new", true)], "jobs")).toEqual(false);
    expect(hasSingleDeduplicatingPool([createPool("old", "old", true)], "other")).toEqual(false);
});
