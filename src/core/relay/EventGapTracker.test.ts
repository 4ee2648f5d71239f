import { expect } from "earl";
import { test } from "node:test";
import { EventGapTracker } from "./EventGapTracker.js";

function paceOf(gaps: readonly number[]): { readonly pace: EventGapTracker; readonly nowMs: number; } {
    const pace = new EventGapTracker();
    let nowMs = 0;
    for (const gapMs of gaps) {
        nowMs += gapMs;
        pace.recordGap("e1", gapMs, nowMs);
    }
    return { pace, nowMs };
}

test("an upstream that keeps its pace is not slow, whatever the pace is", () => {
    for (const gapMs of [20, 60]) {
        const { pace, nowMs } = paceOf(Array(50).fill(gapMs) as number[]);
        expect(Math.round(pace.slowdownFactor("e1", nowMs) * 100)).toEqual(100);
    }
});

test("a slow moment shows within a few events, and is over as fast", () => {
    const usual = Array(50).fill(25) as number[];
    const slow = paceOf([...usual, 60, 60, 60]);
    expect(slow.pace.slowdownFactor("e1", slow.nowMs) > 1.8).toEqual(true);
    const over = paceOf([...usual, 60, 60, 60, 25, 25, 25, 25, 25]);
    expect(over.pace.slowdownFactor("e1", over.nowMs) < 1.3).toEqual(true);
});

test("what was seen long ago, or never, tells nothing", () => {
    const { pace, nowMs } = paceOf([25, 25, 90, 90]);
    expect([pace.slowdownFactor("e1", nowMs + 1_000), pace.slowdownFactor("e2", nowMs)]).toEqual([1, 1]);
    pace.removeUpstream("e1");
    expect(pace.slowdownFactor("e1", nowMs)).toEqual(1);
});
