import { expect } from "earl";
import { test } from "node:test";
import { VirtualScheduler } from "../util/VirtualScheduler.js";
import { CircuitBreaker } from "./CircuitBreaker.js";

const options = { failuresToOpen: 3, firstOpenMs: 100, maxOpenMs: 300 };

test("failures in a row open the circuit; a success in between does not", () => {
    const breaker = new CircuitBreaker(new VirtualScheduler(), options);
    fail(breaker, 2);
    breaker.recordSuccess();
    fail(breaker, 2);
    expect(breaker.state).toEqual("closed");
    fail(breaker, 1);
    expect([breaker.state, breaker.tryAcquirePermission()]).toEqual(["open", false]);
});

test("after the open time one call at a time tries again, and its failure doubles the time up to a bound", () => {
    const clock = new VirtualScheduler();
    const breaker = new CircuitBreaker(clock, options);
    fail(breaker, 3);
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

test("a try that told nothing lets the next call try", () => {
    const clock = new VirtualScheduler();
    const breaker = new CircuitBreaker(clock, options);
    fail(breaker, 3);
    clock.advance(100);
    expect(breaker.tryAcquirePermission()).toEqual(true);
    breaker.releasePermission();
    expect(breaker.tryAcquirePermission()).toEqual(true);
});

function fail(breaker: CircuitBreaker, times: number): void {
    for (let count = 0; count < times; count++) {
        breaker.recordFailure();
    }
}
