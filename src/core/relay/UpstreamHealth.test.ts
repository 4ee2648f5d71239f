import { expect } from "earl";
import { test } from "node:test";
import { UpstreamHealth } from "./UpstreamHealth.js";

test("an upstream that keeps failing is avoided with exponential backoff up to a limit, and a successful call resets it", () => {
    const health = new UpstreamHealth();
    expect(health.isAvoided("a", 0)).toEqual(false);
    expect([health.recordFailure("a", 0), health.recordFailure("a", 0), health.recordFailure("a", 0), health.recordFailure("a", 0)])
        .toEqual([400, 800, 1_600, 3_000]);
    expect([health.isAvoided("a", 2_999), health.isAvoided("a", 3_000)]).toEqual([true, false]);
    expect([health.recordSuccess("a"), health.recordSuccess("a")]).toEqual([true, false]);
    expect(health.recordFailure("a", 5_000)).toEqual(400);
});
