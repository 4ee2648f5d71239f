import { Agent } from "node:http";
import { sendCall } from "./sendCall.mjs";
import { Store } from "./Store.mjs";
import { chooseLoopbackNet, startVm, stopVms, waitUntilReady } from "./Vm.mjs";
import { Worker } from "./Worker.mjs";

const zones = ["z1", "z2", "z3"];
const startTimeoutMs = 20_000;
const key = "key-ana-1";
/** Statuses that promise that a call has not run and never will. */
const promises = [408, 421, 429, 503];

/** A route of the operator's configuration for plain calls. */
export function createRoute({ name, prefix, kind, service, timeoutMs = 1_500 }) {
    return {
        name,
        host: "h.example",
        path_prefix: prefix,
        kind,
        timeout_ms: timeoutMs,
        target_latency_ms: 300,
        priority: 2,
        service,
        max_attempts: kind === "idempotent" ? 2 : 1,
        public: false,
        sticky: false,
        resumable: false,
    };
}

/** A small installation on loopback addresses: a store, workers, and one VM in each of three zones. */
export class Site {
    workers = [];
    vms = [];
    results = [];
    nextId = 1;
    store = new Store();

    constructor(record) {
        this.record = record;
    }

    /** Opens the store and puts the first configuration there. */
    async openStore(routes) {
        this.net = await chooseLoopbackNet();
        this.systemAddress = await this.store.listen(`${this.net}200`, false);
        this.workersAddress = await this.store.listen(`${this.net}201`, true);
        const services = [...new Set(routes.map(({ service }) => service))];
        this.store.put(
            "keyed.op",
            "config",
            JSON.stringify({
                version: 7,
                routes,
                services: services.map(name => ({ name, health_path: "/health", max_conns: 100, protocol: "h1", tls: false })),
                limits: { header_bytes: 16_384, body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
                tenants: [{ name: "ana", api_keys: [key], priority: 2 }],
            }),
        );
    }

    async addWorkers(service, count, { slots = 6, workMs = 60 } = {}) {
        const added = [];
        for (let index = 0; index < count; index++) {
            const worker = new Worker({
                id: `i-${service}-${index + 1}`,
                service,
                zone: zones[index % zones.length],
                slots,
                workMs,
                heartbeatMs: 1_200,
                record: this.record,
            });
            await worker.start(`${this.net}${100 + this.workers.length}`, this.workersAddress);
            this.workers.push(worker);
            added.push(worker);
        }
        return added;
    }

    /** Starts the VMs; resolves with whether all became ready. */
    async startVms() {
        const ips = zones.map((_, index) => `${this.net}${index + 1}`);
        this.vms = zones.map((zone, index) =>
            startVm({ name: `front-${zone}-1`, ip: ips[index], zone, zones, seeds: ips, storeAddress: this.systemAddress })
        );
        const ready = await Promise.all(this.vms.map(vm => waitUntilReady(vm, startTimeoutMs)));
        this.agents = this.vms.map(() => new Agent({ keepAlive: true, maxSockets: 64 }));
        this.record.add("VMs started", { ready: ready.join(",") });
        return !ready.includes(false);
    }

    /**
     * Sends calls at a steady rate to the VMs in turn for `forMs`; resolves when all have ended. Each call has a body of its own unless `body` is
     * given. With `isRetried`, a call that is answered with the promise that it has not run is sent once more, to the next VM on a new channel.
     */
    async load({ path, method, perSecond, forMs, body, deadlineMs = 3_000, isRetried = false }) {
        const calls = [];
        const endMs = performance.now() + forMs;
        for (let count = 0; performance.now() < endMs; count++) {
            calls.push(this.callAndRetry(count % this.vms.length, { path, method, body: body ?? `work ${count}`, deadlineMs }, isRetried));
            await new Promise(resolve => setTimeout(resolve, 1_000 / perSecond));
        }
        await Promise.all(calls);
    }

    async callAndRetry(vmIndex, call, isRetried) {
        const { status } = await this.call(vmIndex, call);
        if (isRetried && promises.includes(status)) {
            await this.call((vmIndex + 1) % this.vms.length, { ...call, isOnNewChannel: true });
        }
    }

    async call(vmIndex, { path, method, body, deadlineMs, isOnNewChannel = false }) {
        const id = (this.nextId++).toString(16).padStart(16, "0");
        const result = await sendCall({
            front: this.vms[vmIndex].front,
            agent: isOnNewChannel ? false : this.agents[vmIndex],
            host: "h.example",
            path,
            method,
            id,
            headers: { "x-api-key": key, "x-deadline-ms": String(deadlineMs) },
            body,
            record: this.record,
        });
        this.results.push({ ...result, path, vm: this.vms[vmIndex].name });
        return result;
    }

    async close() {
        await stopVms(this.vms);
        for (const agent of this.agents ?? []) {
            agent.destroy();
        }
        for (const worker of this.workers) {
            worker.stop();
        }
        for (const server of this.store.servers) {
            server.closeAllConnections();
            server.close();
        }
    }
}
