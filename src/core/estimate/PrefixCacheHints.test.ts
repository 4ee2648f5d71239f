import { expect } from "earl";
import { test } from "node:test";
import { PrefixCacheHints } from "./PrefixCacheHints.js";

const tokensPerBlock = PrefixCacheHints.tokensPerBlock;

test("cached tokens are counted up to the first block that the engine is not known to hold", () => {
    const hints = new PrefixCacheHints();
    hints.recordPrefix([1, 2, 3], "engine-0", 0);
    expect(hints.cachedTokens([1, 2, 3, 4], "engine-0", 10)).toEqual(3 * tokensPerBlock);
    expect(hints.cachedTokens([1, 9, 3], "engine-0", 10)).toEqual(tokensPerBlock);
    expect(hints.cachedTokens([1, 2], "engine-1", 10)).toEqual(0);
});

test("a hint expires after its lifetime, and is removed on invalidation or when more recent engines replace it", () => {
    const hints = new PrefixCacheHints();
    hints.recordPrefix([1], "engine-0", 0);
    expect(hints.cachedTokens([1], "engine-0", 200_000)).toEqual(0);
    hints.recordPrefix([1], "engine-0", 200_000);
    hints.invalidate([1], "engine-0");
    expect(hints.cachedTokens([1], "engine-0", 200_001)).toEqual(0);
    for (const [index, engine] of ["engine-0", "engine-1", "engine-2", "engine-3"].entries()) {
        hints.recordPrefix([7], engine, 1_000 + index);
    }
    expect(hints.cachedTokens([7], "engine-0", 1_010)).toEqual(0);
    expect(hints.cachedTokens([7], "engine-3", 1_010)).toEqual(tokensPerBlock);
});
