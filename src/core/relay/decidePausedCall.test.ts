import { expect } from "earl";
import { test } from "node:test";
import { decidePausedCall } from "./decidePausedCall.js";

const call = { nowMs: 1_000, firstReturnMs: 1_100, arrivedMs: 1_000, deadlineMs: 5_000, targetMs: 400, tier: 0, random: 0 };

test("a call waits for a pause that ends before half of its target, behind more urgent ones", () => {
    expect(decidePausedCall(call)).toEqual({ kind: "wait", untilMs: 1_100 });
    expect(decidePausedCall({ ...call, tier: 2 })).toEqual({ kind: "wait", untilMs: 1_140 });
});

test("a call that would be late, or past its deadline, is refused with the time at which there will be room", () => {
    expect(decidePausedCall({ ...call, firstReturnMs: 1_201 })).toEqual({ kind: "refuse", retryAfterMs: 201 });
    expect(decidePausedCall({ ...call, firstReturnMs: 1_200, tier: 1 })).toEqual({ kind: "refuse", retryAfterMs: 200 });
    expect(decidePausedCall({ ...call, deadlineMs: 1_100 })).toEqual({ kind: "refuse", retryAfterMs: 100 });
    expect(decidePausedCall({ ...call, arrivedMs: 850 })).toEqual({ kind: "refuse", retryAfterMs: 100 });
});

test("refused calls are spread over the time after the pause", () => {
    const delaysMs = [0, 0.5, 1].map(random => decidePausedCall({ ...call, firstReturnMs: 3_000, random }));
    expect(delaysMs).toEqual([2_000, 2_500, 3_000].map(retryAfterMs => ({ kind: "refuse", retryAfterMs })));
});
