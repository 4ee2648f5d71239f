import { expect } from "earl";
import { test } from "node:test";
import { PromptPartUsage } from "./PromptPartUsage.js";

test("calls for a part count while they are recent", () => {
    const use = new PromptPartUsage();
    const counts = [0, 1_000, 2_000, 6_000, 20_000].map(nowMs => use.recordCall("manual-7", nowMs));
    expect(counts).toEqual([1, 2, 3, 3, 1]);
    expect(use.recordCall("manual-8", 20_000)).toEqual(1);
});

test("an engine keeps a part for a while after it was read there", () => {
    const use = new PromptPartUsage();
    use.recordCall("manual-7", 0);
    use.recordPrefill("manual-7", "e1", 0);
    expect([use.isCached("manual-7", "e1", 10_000), use.isCached("manual-7", "e1", 20_000)]).toEqual([true, false]);
    expect([use.isCached("manual-7", "e2", 0), use.isCached("manual-8", "e1", 0)]).toEqual([false, false]);
});

test("parts that nobody calls for any more are forgotten first", () => {
    const use = new PromptPartUsage();
    use.recordCall("old", 0);
    for (let index = 0; index < 5_000; index++) {
        use.recordCall(`part-${index}`, 1);
    }
    use.recordPrefill("old", "e1", 1);
    expect([use.isCached("old", "e1", 1), use.recordCall("old", 1)]).toEqual([false, 1]);
});
