import { setTimeout as sleep } from "node:timers/promises";
import { DelayProxy } from "../standins-2/DelayProxy.mjs";
import { runCase } from "../standins-2/runCase.mjs";
import { createRoute } from "../standins-2/Site.mjs";

const drainMs = 2_000;
/** How long the last heartbeat before the drain is on its way. The worker gives it up after a second. */
const lateMs = 3_700;
/** The worker serves this much longer than `drainMs`. */
const lingerMs = 3_000;

await runCase(new URL(".", import.meta.url), async (site, isTroubled, record) => {
    await site.openStore([createRoute({ name: "r-book", prefix: "/book/", kind: "non_idempotent", service: "jobs" })]);
    const [leaving] = await site.addWorkers("jobs", 3, { workMs: 90 });
    const proxy = new DelayProxy(site.workersAddress);
    const lateAddress = await proxy.listen(`${site.net}202`);
    if (!await site.startVms()) {
        return undefined;
    }
    site.store.onAppend = (topic, id, value) => {
        if (id === leaving.id) {
            record.add("store accepts", { id, value });
        }
    };
    await site.load({ path: "/book/1", method: "POST", perSecond: 6, forMs: 4_000 });
    proxy.delayMs = isTroubled ? lateMs : 0;
    const status = await leaving.beat(lateAddress);
    record.add("heartbeat sent", { state: leaving.state, sequence: leaving.sequence, answer: status === 0 ? "none" : status });
    await leaving.drain();
    const confirmedMs = record.nowMs();
    record.add("draining confirmed", { id: leaving.id, sequence: leaving.sequence });
    await sleep(drainMs);
    await site.load({ path: "/book/1", method: "POST", perSecond: 60, forMs: lingerMs });
    leaving.stop();
    return leaving.runs.filter(({ atMs }) => atMs > confirmedMs + drainMs)
        .map(run =>
            `DRAIN: ${run.id} reached ${leaving.id} ${run.atMs - confirmedMs} ms after the store had confirmed that it is draining`
        );
});
