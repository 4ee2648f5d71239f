import { expect } from "earl";
import { test } from "node:test";
import { PartUse } from "./PartUse.js";

test("calls for a part count while they are recent", () => {
    const use = new PartUse();
    const counts = [0, 1_000, 2_000, 6_000, 20_000].map(nowMs => use.called("manual-7", nowMs));
    expect(counts).toEqual([1, 2, 3, 3, 1]);
    expect(use.called("manual-8", 20_000)).toEqual(1);
});

test("an engine keeps a part for a while after it was read there", () => {
    const use = new PartUse();
    use.called("manual-7", 0);
    use.readAway("manual-7", "e1", 0);
    expect([use.isKept("manual-7", "e1", 10_000), use.isKept("manual-7", "e1", 20_000)]).toEqual([true, false]);
    expect([use.isKept("manual-7", "e2", 0), use.isKept("manual-8", "e1", 0)]).toEqual([false, false]);
});

test("parts that nobody calls for any more are forgotten first", () => {
    const use = new PartUse();
    use.called("old", 0);
    for (let index = 0; index < 5_000; index++) {
        use.called(`part-${index}`, 1);
    }
    use.readAway("old", "e1", 1);
    expect([use.isKept("old", "e1", 1), use.called("old", 1)]).toEqual([false, 1]);
});
