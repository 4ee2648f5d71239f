import { expect } from "earl";
import { test } from "node:test";
import { PromptPartUsage } from "./PromptPartUsage.js";

test("calls for a part count in their window and the next one, then expire", () => {
    const usage = new PromptPartUsage();
    const counts = [0, 1_000, 2_000, 6_000, 20_000].map(nowMs => usage.recordCall("manual-7", nowMs));
    expect(counts).toEqual([1, 2, 3, 3, 1]);
    expect(usage.recordCall("manual-8", 20_000)).toEqual(1);
});

test("an engine counts as caching a part until the retention time after its prefill has passed", () => {
    const usage = new PromptPartUsage();
    usage.recordCall("manual-7", 0);
    usage.recordPrefill("manual-7", "e1", 0);
    expect([usage.isCached("manual-7", "e1", 10_000), usage.isCached("manual-7", "e1", 20_000)]).toEqual([true, false]);
    expect([usage.isCached("manual-7", "e2", 0), usage.isCached("manual-8", "e1", 0)]).toEqual([false, false]);
});

test("the least recently used part is evicted when there are too many", () => {
    const usage = new PromptPartUsage();
    usage.recordCall("old", 0);
    for (let index = 0; index < 5_000; index++) {
        usage.recordCall(`part-${index}`, 1);
    }
    usage.recordPrefill("old", "e1", 1);
    expect([usage.isCached("old", "e1", 1), usage.recordCall("old", 1)]).toEqual([false, 1]);
});
