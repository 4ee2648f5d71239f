import { errAsync, okAsync } from "neverthrow";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import type { Member } from "../../src/core/membership/Member.js";
import { CallerServer } from "../../src/node/caller/CallerServer.js";
import { DispatchTask } from "../../src/node/dispatch/DispatchTask.js";
import { EventRing } from "../../src/node/explain/EventRing.js";
import { Metrics } from "../../src/node/metrics/Metrics.js";
import type { ConfigService } from "../../src/node/services/ConfigService.js";
import { SystemScheduler } from "../../src/node/timers/SystemScheduler.js";
import { HttpEngineClient } from "../../src/node/upstream/HttpEngineClient.js";
import { HttpPlainClient } from "../../src/node/upstream/HttpPlainClient.js";
import type { BenchCommand } from "./BenchCommand.js";
import type { BenchMessage } from "./BenchMessage.js";
import { benchView } from "./benchView.js";

/** Runs the request path of a single VM without peers as a child process: caller server, dispatch, engine client, event ring and metrics. The first argument holds the engine URLs as a JSON array. */
const eventRingBytes = 32 * 1024 * 1024;
const engineUrls = JSON.parse(process.argv[2] ?? "[]") as string[];
const { signal } = new AbortController();
const scheduler = new SystemScheduler();
const view = benchView(engineUrls);
const config: ConfigService = {
    view,
    isReady: true,
    onChange: () => undefined,
    apply: () => okAsync({ status: "accepted", offset: 1, pendingZones: [] }),
    findRevision: () => undefined,
};
const self: Member = {
    vm: "vm-1",
    incarnation: "1",
    availabilityZone: "nadi",
    region: "fiji-west",
    peerUrl: "ws://127.0.0.1:1",
    processorShare: 1,
    state: "ready",
    configOffset: 1,
};
const recorder = new EventRing(eventRingBytes);
const metrics = new Metrics();
const dispatch = new DispatchTask({
    vm: self.vm,
    incarnation: self.incarnation,
    scheduler,
    random: Math.random,
    links: {
        send: () => false,
        request: () => errAsync({ kind: "no-link", message: "the benchmark runs a single VM without peers" }),
        onMessage: () => undefined,
    },
    config,
    membership: { members: [self], onChange: () => undefined },
    recorder,
    canConnect: () => Promise.resolve(true),
});
dispatch.start(signal);
const engines = new HttpEngineClient(scheduler);
engines.start(signal);
let requestCount = 0;
const server = new CallerServer({
    vm: self.vm,
    availabilityZone: self.availabilityZone,
    host: "127.0.0.1",
    port: 0,
    config,
    dispatch,
    limits: { acquire: () => okAsync({ end: () => undefined }) },
    bookings: {
        run: () => {
            throw new Error("the benchmark does not support bookings");
        },
    },
    engines,
    plain: new HttpPlainClient(scheduler),
    recorder,
    observer: metrics,
    scheduler,
    isReady: () => true,
    createRequestId: () => `bench-${requestCount++}`,
});

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

process.on("message", (command: BenchCommand) => {
    if (command.type === "reportMemory") {
        if (command.collectsGarbage) {
            collectGarbage();
        }
        sendMemoryReport();
    }
});
process.on("disconnect", () => process.exit(0));

const url = (await server.start(signal))._unsafeUnwrap();
process.send?.({ type: "listening", url } satisfies BenchMessage);

function sendMemoryReport(): void {
    const { rss, heapUsed } = process.memoryUsage();
    const { user, system } = process.cpuUsage();
    process.send?.(
        {
            type: "memory",
            rssBytes: rss,
            heapUsedBytes: heapUsed,
            cpuMs: (user + system) / 1000,
            activeRequests: server.activeRequestCount,
        } satisfies BenchMessage,
    );
}
