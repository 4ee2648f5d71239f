import { expect } from "earl";
import { test } from "node:test";
import { computeFollowerTiming } from "./computeFollowerTiming.js";

test("reads are as far apart as the time limit for a change allows", () => {
    expect(computeFollowerTiming(2_000)).toEqual({
        configReadWaitMs: 500,
        upstreamsReadPauseMs: 600,
        baseSilenceTimeoutMs: 1_100,
        silenceTimeoutPerRankMs: 100,
    });
    expect(computeFollowerTiming(4_000).configReadWaitMs).toEqual(1_000);
    expect(computeFollowerTiming(0)).toEqual(computeFollowerTiming(1_000));
});
