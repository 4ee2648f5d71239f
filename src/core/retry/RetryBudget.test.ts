import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { VirtualScheduler } from "../util/VirtualScheduler.js";
import { admitRetry } from "./admitRetry.js";
import { RetryBudget } from "./RetryBudget.js";

const options = { retriesPerRequest: 0.2, minRetriesPerSecond: 5, maxSavedRetries: 10 };

test("retries never exceed what was saved, the share of requests and the rate by time", () => {
    const step = fc.oneof(fc.constant("earn" as const), fc.constant("spend" as const), fc.integer({ min: 1, max: 500 }));
    fc.assert(
        fc.property(fc.array(step, { maxLength: 500 }), steps => {
            const clock = new VirtualScheduler();
            const budget = new RetryBudget(clock, options);
            let requests = 0;
            let retries = 0;
            for (const action of steps) {
                if (action === "earn") {
                    requests++;
                    budget.earn();
                }
                else if (action === "spend") {
                    retries += budget.trySpend() ? 1 : 0;
                }
                else {
                    clock.advance(action);
                }
            }
            const most = options.maxSavedRetries + requests * options.retriesPerRequest +
                clock.nowMs() / 1000 * options.minRetriesPerSecond;
            expect(retries).toSatisfy(count => count <= most + 1e-6);
        }),
        { seed: 41 },
    );
});

test("an empty budget fills again with time", () => {
    const clock = new VirtualScheduler();
    const budget = new RetryBudget(clock, options);
    while (budget.trySpend()) {
        /* empties it */
    }
    clock.advance(199);
    expect(budget.trySpend()).toEqual(false);
    clock.advance(1);
    expect(budget.trySpend()).toEqual(true);
});

test("a call that may have run is repeated only when calls may be repeated, and never beyond the attempts", () => {
    fc.assert(
        fc.property(
            fc.boolean(),
            fc.boolean(),
            fc.boolean(),
            fc.integer({ min: 1, max: 5 }),
            (mayHaveRun, isRequestFault, isRepeatable, attempts) => {
                const budget = new RetryBudget(new VirtualScheduler(), options);
                const retries = admitRetry({ failure: { mayHaveRun, isRequestFault }, isRepeatable, attempts, maxAttempts: 4 }, budget);
                expect(retries).toEqual((!mayHaveRun || isRepeatable) && !isRequestFault && attempts < 4);
            },
        ),
        { seed: 42 },
    );
});
