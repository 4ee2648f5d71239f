import { expect } from "earl";
import { test } from "node:test";
import { VirtualScheduler } from "../util/VirtualScheduler.js";
import { CircuitBreaker } from "./CircuitBreaker.js";

const options = { failuresToOpen: 3, firstOpenMs: 100, maxOpenMs: 300 };

test("failures in a row open the circuit; a success in between does not", () => {
    const breaker = new CircuitBreaker(new VirtualScheduler(), options);
    fail(breaker, 2);
    breaker.succeeded();
    fail(breaker, 2);
    expect(breaker.state).toEqual("closed");
    fail(breaker, 1);
    expect([breaker.state, breaker.tryEnter()]).toEqual(["open", false]);
});

test("after the open time one call at a time tries again, and its failure doubles the time up to a bound", () => {
    const clock = new VirtualScheduler();
    const breaker = new CircuitBreaker(clock, options);
    fail(breaker, 3);
    for (const openMs of [100, 200, 300, 300]) {
        clock.advance(openMs - 1);
        expect(breaker.tryEnter()).toEqual(false);
        clock.advance(1);
        expect([breaker.tryEnter(), breaker.tryEnter()]).toEqual([true, false]);
        breaker.failed();
    }
    clock.advance(300);
    expect(breaker.tryEnter()).toEqual(true);
    breaker.succeeded();
    expect([breaker.state, breaker.tryEnter(), breaker.tryEnter()]).toEqual(["closed", true, true]);
});

test("a try that told nothing lets the next call try", () => {
    const clock = new VirtualScheduler();
    const breaker = new CircuitBreaker(clock, options);
    fail(breaker, 3);
    clock.advance(100);
    expect(breaker.tryEnter()).toEqual(true);
    breaker.abandoned();
    expect(breaker.tryEnter()).toEqual(true);
});

function fail(breaker: CircuitBreaker, times: number): void {
    for (let count = 0; count < times; count++) {
        breaker.failed();
    }
}
