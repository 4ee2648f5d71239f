import { setTimeout as sleep } from "node:timers/promises";
import { runCase } from "../standins-2/runCase.mjs";
import { createRoute } from "../standins-2/Site.mjs";

/** Every how many calls one fails at the worker that is at fault: a share of 0.33. */
const callsPerFailure = 3;
/** `for_s` of the site day that lets all workers fail a share of 0.45. */
const faultMs = 4_000;
const promises = [429, 503, 408, 421];

await runCase(new URL(".", import.meta.url), async (site, isTroubled, record) => {
    await site.openStore([createRoute({ name: "r-book", prefix: "/book/", kind: "non_idempotent", service: "jobs" })]);
    const [faulty] = await site.addWorkers("jobs", 3);
    if (!await site.startVms()) {
        return undefined;
    }
    await sleep(2_000);
    const load = site.load({ path: "/book/1", method: "POST", perSecond: 20, forMs: 10_000, isRetried: true });
    await sleep(1_000);
    let calls = 0;
    if (isTroubled) {
        faulty.failAfterRun = () => ++calls % callsPerFailure === 0 ? 503 : undefined;
        record.add("fault begins", { worker: faulty.id });
    }
    await sleep(faultMs);
    faulty.failAfterRun = undefined;
    record.add("fault ends");
    await load;
    const runsByBooking = Map.groupBy(site.workers.flatMap(({ runs }) => runs), ({ body }) => body);
    const doubled = [...runsByBooking].filter(([, runs]) => runs.length > 1);
    record.add("bookings made twice by their callers' retries", { count: doubled.length });
    for (const [booking, runs] of doubled) {
        record.add("made twice", { booking, ids: runs.map(({ id }) => id).join(",") });
    }
    const ranIds = new Set(site.workers.flatMap(({ runs }) => runs.map(({ id }) => id)));
    return site.results.filter(({ id, status }) => promises.includes(status) && ranIds.has(id))
        .map(({ id, status }) => `REFUSED: ${id} was answered ${status} and has run`);
});
