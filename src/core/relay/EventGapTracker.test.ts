import { expect } from "earl";
import { test } from "node:test";
import { EventGapTracker } from "./EventGapTracker.js";

function recordGaps(gaps: readonly number[]): { readonly tracker: EventGapTracker; readonly nowMs: number; } {
    const tracker = new EventGapTracker();
    let nowMs = 0;
    for (const gapMs of gaps) {
        nowMs += gapMs;
        tracker.recordGap("e1", gapMs, nowMs);
    }
    return { tracker, nowMs };
}

test("an upstream with a constant gap between events is not slow, whatever the gap", () => {
    for (const gapMs of [20, 60]) {
        const { tracker, nowMs } = recordGaps(Array(50).fill(gapMs) as number[]);
        expect(Math.round(tracker.slowdownFactor("e1", nowMs) * 100)).toEqual(100);
    }
});

test("the beginning and the end of a slowdown are detected within a few events", () => {
    const normalGaps = Array(50).fill(25) as number[];
    const duringSlowdown = recordGaps([...normalGaps, 60, 60, 60]);
    expect(duringSlowdown.tracker.slowdownFactor("e1", duringSlowdown.nowMs) > 1.8).toEqual(true);
    const afterSlowdown = recordGaps([...normalGaps, 60, 60, 60, 25, 25, 25, 25, 25]);
    expect(afterSlowdown.tracker.slowdownFactor("e1", afterSlowdown.nowMs) < 1.3).toEqual(true);
});

test("an upstream with outdated, missing or removed gaps has a slowdown factor of 1", () => {
    const { tracker, nowMs } = recordGaps([25, 25, 90, 90]);
    expect([tracker.slowdownFactor("e1", nowMs + 1_000), tracker.slowdownFactor("e2", nowMs)]).toEqual([1, 1]);
    tracker.removeUpstream("e1");
    expect(tracker.slowdownFactor("e1", nowMs)).toEqual(1);
});
