import { okAsync } from "neverthrow";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { CallerServer } from "../../src/node/caller/CallerServer.js";
import { SystemScheduler } from "../../src/node/timers/SystemScheduler.js";
import { HttpEngineClient } from "../../src/node/upstream/HttpEngineClient.js";
import { HttpPlainClient } from "../../src/node/upstream/HttpPlainClient.js";
import type { BenchCommand } from "./BenchCommand.js";
import type { BenchMessage } from "./BenchMessage.js";
import { benchView } from "./benchView.js";
import { DirectDispatch } from "./DirectDispatch.js";

/** The request path of one VM in a process of its own. The URLs of its engines come as JSON in the first argument. */
const engineUrls = JSON.parse(process.argv[2] ?? "[]") as string[];
const { signal } = new AbortController();
const scheduler = new SystemScheduler();
const view = benchView(engineUrls);
const engines = new HttpEngineClient(scheduler);
engines.start(signal);
let requests = 0;
const server = new CallerServer({
    vm: "vm-1",
    availabilityZone: "nadi",
    host: "127.0.0.1",
    port: 0,
    config: {
        view,
        isReady: true,
        onChange: () => undefined,
        apply: () => okAsync({ status: "accepted", offset: 1, pendingZones: [] }),
        revisionOf: () => undefined,
    },
    dispatch: new DirectDispatch([...view.pools.values()].flatMap(pool => pool.upstreams)),
    limits: { acquire: () => okAsync({ end: () => undefined }) },
    bookings: {
        run: () => {
            throw new Error("no bookings in this benchmark");
        },
    },
    engines,
    plain: new HttpPlainClient(scheduler),
    recorder: { record: () => undefined },
    observer: { requestEnded: () => undefined },
    scheduler,
    isReady: () => true,
    newRequestId: () => `bench-${requests++}`,
});

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

process.on("message", (command: BenchCommand) => {
    if (command.type === "reportMemory") {
        if (command.collectsGarbage) {
            collectGarbage();
        }
        report();
    }
});
process.on("disconnect", () => process.exit(0));

const url = (await server.start(signal))._unsafeUnwrap();
process.send?.({ type: "listening", url } satisfies BenchMessage);

function report(): void {
    const { rss, heapUsed } = process.memoryUsage();
    const { user, system } = process.cpuUsage();
    process.send?.(
        {
            type: "memory",
            rssBytes: rss,
            heapUsedBytes: heapUsed,
            cpuMs: (user + system) / 1000,
            activeRequests: server.activeRequests,
        } satisfies BenchMessage,
    );
}
