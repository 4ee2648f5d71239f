import { expect } from "earl";
import { test } from "node:test";
import { until } from "../../../../proof/fakes/until.js";
import { WeightStoreStandin } from "../../../../standins/weights/WeightStoreStandin.js";
import { SystemScheduler } from "../../timers/SystemScheduler.js";
import { WeightStoreTask } from "./WeightStoreTask.js";

test("the limit follows the weight store and falls back to one load once the store stops responding", { timeout: 10_000 }, async () => {
    const stop = new AbortController();
    const standin = new WeightStoreStandin({ maxConcurrentLoads: 5 });
    const url = await standin.start(stop.signal);
    const task = new WeightStoreTask(url, new SystemScheduler(), 500);
    task.start(stop.signal);
    await until(() => task.maxConcurrentLoads === 5);
    await fetch(`${url}/_standin/faults`, { method: "POST", body: JSON.stringify({ kind: "silent" }) });
    const taskOfSilentStore = new WeightStoreTask(url, new SystemScheduler(), 50);
    taskOfSilentStore.maxConcurrentLoads = 5;
    taskOfSilentStore.start(stop.signal);
    await until(() => taskOfSilentStore.maxConcurrentLoads === 1);
    stop.abort();
    expect(task.maxConcurrentLoads).toEqual(5);
});
