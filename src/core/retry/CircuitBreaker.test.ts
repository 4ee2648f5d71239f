import { expect } from "earl";
import { test } from "node:test";
import { VirtualScheduler } from "../util/VirtualScheduler.js";
import { CircuitBreaker } from "./CircuitBreaker.js";

const options = { failuresToOpen: 3, firstOpenMs: 100, maxOpenMs: 300 };

test("consecutive failures open the circuit; failures with a success in between do not", () => {
    const breaker = new CircuitBreaker(new VirtualScheduler(), options);
    recordFailures(breaker, 2);
    breaker.recordSuccess();
    recordFailures(breaker, 2);
    expect(breaker.state).toEqual("closed");
    recordFailures(breaker, 1);
    expect([breaker.state, breaker.tryAcquirePermission()]).toEqual(["open", false]);
});

test("after the open time one probe at a time is permitted, and each failed probe doubles the open time up to the maximum", () => {
    const clock = new VirtualScheduler();
    const breaker = new CircuitBreaker(clock, options);
    recordFailures(breaker, 3);
    for (const openMs of [100, 200, 300, 300]) {
        clock.advance(openMs - 1);
        expect(breaker.tryAcquirePermission()).toEqual(false);
        clock.advance(1);
        expect([breaker.tryAcquirePermission(), breaker.tryAcquirePermission()]).toEqual([true, false]);
        breaker.recordFailure();
    }
    clock.advance(300);
    expect(breaker.tryAcquirePermission()).toEqual(true);
    breaker.recordSuccess();
    expect([breaker.state, breaker.tryAcquirePermission(), breaker.tryAcquirePermission()]).toEqual(["closed", true, true]);
});

test("a probe released with neither success nor failure does not block the next probe", () => {
    const clock = new VirtualScheduler();
    const breaker = new CircuitBreaker(clock, options);
    recordFailures(breaker, 3);
    clock.advance(100);
    expect(breaker.tryAcquirePermission()).toEqual(true);
    breaker.releasePermission();
    expect(breaker.tryAcquirePermission()).toEqual(true);
});

function recordFailures(breaker: CircuitBreaker, times: number): void {
    for (let count = 0; count < times; count++) {
        breaker.recordFailure();
    }
}
