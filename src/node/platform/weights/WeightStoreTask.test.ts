import { expect } from "earl";
import { test } from "node:test";
import { until } from "../../../../proof/fakes/until.js";
import { WeightStoreStandin } from "../../../../standins/weights/WeightStoreStandin.js";
import { SystemScheduler } from "../../timers/SystemScheduler.js";
import { WeightStoreTask } from "./WeightStoreTask.js";

test("the store's limit is taken over, and falls back to one load while the store is silent", { timeout: 10_000 }, async () => {
    const stop = new AbortController();
    const standin = new WeightStoreStandin({ maxConcurrentLoads: 5 });
    const url = await standin.start(stop.signal);
    const first = new WeightStoreTask(url, new SystemScheduler(), 500);
    first.start(stop.signal);
    await until(() => first.maxConcurrentLoads === 5);
    await fetch(`${url}/_standin/faults`, { method: "POST", body: JSON.stringify({ kind: "silent" }) });
    const second = new WeightStoreTask(url, new SystemScheduler(), 50);
    second.maxConcurrentLoads = 5;
    second.start(stop.signal);
    await until(() => second.maxConcurrentLoads === 1);
    stop.abort();
    expect(first.maxConcurrentLoads).toEqual(5);
});
