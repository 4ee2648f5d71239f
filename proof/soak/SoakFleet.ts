import { mkdirSync } from "node:fs";
import { createSeededRandom } from "../../src/core/util/createSeededRandom.js";
import { SwallowingProxy } from "../../standins/proxy/SwallowingProxy.js";
import { delay } from "../../standins/shared/delay.js";
import type { Fault } from "../../standins/shared/Fault.js";
import { StoreStandin } from "../../standins/store/StoreStandin.js";
import type { SoakCall } from "./SoakCall.js";
import { SoakCaller } from "./SoakCaller.js";
import type { SoakFault } from "./SoakFault.js";
import type { SoakHistory } from "./SoakHistory.js";
import type { SoakPorts } from "./SoakPorts.js";
import { SoakUpstream } from "./SoakUpstream.js";
import { SoakVm } from "./SoakVm.js";

interface SoakFleetOptions {
    readonly seed: number;
    /** Ports of each VM; the next soak can reuse them once this one has ended. */
    readonly ports: readonly SoakPorts[];
    readonly upstreams: number;
    readonly folder: string;
}

const heartbeatMs = 500;
const readyWithinMs = 60_000;
/** Delay of each byte on a slow connection. */
const slowConnectionDelayMs = 300;
const graceMs = 9_000;
/** How long the store is away before it comes back from a copy, and how long after that the operator writes the configuration again. */
const restoreOutageMs = 200;
const rewriteDelayMs = 800;
/** Calls continue for this long after the last fault: the 12 s limit for recovery, and 4 s of calls to check it with. */
const observationMs = 16_000;

/** The VMs, callers, upstreams and store of one soak. Each VM is a separate process; faults are injected from outside it. */
export class SoakFleet {
    private readonly controller = new AbortController();
    private readonly store = new StoreStandin();
    private readonly calls: SoakCall[] = [];
    private readonly unexpectedExits: string[] = [];
    private readonly startedMs = performance.now();
    private readonly upstreams: readonly SoakUpstream[];
    private vms: readonly SoakVm[] = [];
    private callers: readonly SoakCaller[] = [];
    private storeProxy: SwallowingProxy | undefined;
    private sequence = 0;
    private version = 1;

    constructor(private readonly options: SoakFleetOptions) {
        this.upstreams = [...Array(options.upstreams).keys()].map(index => new SoakUpstream(`i-${index}`, () => this.nowMs()));
    }

    /** Starts the fleet, injects the faults under load, and resolves with the history of calls and runs. */
    async run(faults: readonly SoakFault[]): Promise<SoakHistory> {
        await this.start();
        const callersController = new AbortController();
        const callersDone = this.callers.map(caller => caller.run(callersController.signal));
        await delay(1_000);
        const planStartMs = this.nowMs();
        const scheduledFaults = faults.map(fault => ({ ...fault, atMs: fault.atMs + planStartMs }));
        await Promise.all(scheduledFaults.map(fault => this.injectFault(fault)));
        const faultsEndedMs = Math.max(
            this.nowMs(),
            ...scheduledFaults.map(fault => fault.atMs + (fault.kind === "stop" ? graceMs : fault.durationMs)),
        );
        await delay(faultsEndedMs + observationMs - this.nowMs());
        callersController.abort();
        await Promise.all(callersDone);
        return {
            calls: this.calls,
            runs: this.upstreams.flatMap(upstream => upstream.runs),
            arrivals: this.upstreams.flatMap(upstream => upstream.arrivals),
            faults: scheduledFaults,
            unexpectedExits: this.unexpectedExits,
            vms: this.vms.map(vm => vm.name),
            faultsEndedMs,
        };
    }

    /** Ends all processes and connections. */
    async end(): Promise<void> {
        await Promise.all(this.vms.map(vm => vm.end()));
        this.controller.abort();
    }

    private nowMs(): number {
        return performance.now() - this.startedMs;
    }

    private async start(): Promise<void> {
        const { signal } = this.controller;
        const { ports, folder, seed } = this.options;
        mkdirSync(folder, { recursive: true });
        const storeUrl = new URL(await this.store.server.start(signal));
        this.storeProxy = new SwallowingProxy(Number(storeUrl.port));
        const storeAddress = `127.0.0.1:${await this.storeProxy.start(signal)}`;
        await Promise.all(this.upstreams.map(upstream => upstream.start(signal)));
        this.configure();
        const heartbeat = setInterval(() => {
            this.writeUpstreamEntries();
        }, heartbeatMs);
        signal.addEventListener("abort", () => {
            clearInterval(heartbeat);
        }, { once: true });
        this.writeUpstreamEntries();
        const seeds = ports.slice(0, 3).map(({ peer }) => `127.0.0.1:${peer}`);
        const onUnexpectedExit = (vm: string) => this.unexpectedExits.push(vm);
        this.vms = ports.map((vmPorts, index) => {
            const availabilityZone = `z${index % 3}`;
            return new SoakVm({ name: `front-${index}`, availabilityZone, storeAddress, seeds, ports: vmPorts, folder, onUnexpectedExit });
        });
        this.callers = this.vms.map(({ name }, index) =>
            new SoakCaller({
                vm: name,
                address: `127.0.0.1:${ports[index]?.caller ?? 0}`,
                nowMs: () => this.nowMs(),
                random: createSeededRandom(seed * 1_000 + index),
                onCall: call => this.calls.push(call),
            })
        );
        for (const vm of this.vms) {
            vm.start();
        }
        await this.waitUntilReady();
    }

    private async waitUntilReady(): Promise<void> {
        const endMs = this.nowMs() + readyWithinMs;
        while (!(await Promise.all(this.vms.map(vm => vm.isReady()))).every(Boolean)) {
            if (this.nowMs() > endMs) {
                throw new Error(`not all VMs were ready within ${readyWithinMs} ms; see their logs in ${this.options.folder}`);
            }
            await delay(100);
        }
    }

    private async injectFault(fault: SoakFault): Promise<void> {
        const { kind, atMs, durationMs, target } = fault;
        await delay(atMs - this.nowMs());
        const vm = this.vms[target % this.vms.length];
        const upstream = this.upstreams[target % this.upstreams.length];
        switch (kind) {
            case "kill":
                vm?.signal("SIGKILL");
                break;
            case "stop":
                vm?.signal("SIGTERM");
                break;
            case "reload":
                vm?.signal("SIGHUP");
                break;
            case "pause":
                vm?.signal("SIGSTOP");
                await delay(durationMs);
                vm?.signal("SIGCONT");
                break;
            case "configure":
                this.configure();
                break;
            case "store-silent":
                this.storeProxy?.swallow("both");
                this.setStoreFault("silent", durationMs);
                break;
            case "store-refuses":
                this.setStoreFault("refuse", durationMs);
                break;
            case "store-loses-answers":
                this.setStoreFault("lose-answer", durationMs);
                break;
            case "store-forgets":
                this.store.forget("keyed.op");
                this.store.forget("keyed.servers");
                break;
            case "store-restores":
                await this.restoreStore(durationMs);
                break;
            case "upstream-busy":
                upstream?.setBusy(true);
                await delay(durationMs);
                upstream?.setBusy(false);
                break;
            case "upstream-leaves":
                upstream?.setDraining(true);
                await delay(durationMs + graceMs);
                upstream?.setDraining(false);
                break;
            default:
                await this.disturbConnections(kind, kind.startsWith("store-") ? this.storeProxy : upstream?.proxy, durationMs);
        }
    }

    private async disturbConnections(kind: SoakFault["kind"], proxy: SwallowingProxy | undefined, durationMs: number): Promise<void> {
        if (kind.endsWith("-resets")) {
            proxy?.resetAll();
        }
        else if (kind.endsWith("-silent") || kind.endsWith("-one-way")) {
            proxy?.swallow(kind.endsWith("-silent") ? "both" : "down");
        }
        else if (proxy !== undefined) {
            proxy.delayMs = slowConnectionDelayMs;
            await delay(durationMs);
            proxy.delayMs = 0;
        }
    }

    /** Lets the store come back from a copy of this age; the operator and the upstreams then write again. */
    private async restoreStore(copyAgeMs: number): Promise<void> {
        const copy = this.store.takeCopy();
        await delay(copyAgeMs);
        this.setStoreFault("refuse", restoreOutageMs);
        await delay(restoreOutageMs);
        this.store.restore(copy);
        await delay(rewriteDelayMs);
        this.configure();
    }

    private setStoreFault(kind: Fault["kind"], durationMs: number): void {
        this.store.server.faults.set({ kind, durationMs, delayMs: 0, factor: 1, afterTokens: 0 });
    }

    private writeUpstreamEntries(): void {
        this.sequence++;
        for (const upstream of this.upstreams) {
            this.store.put("keyed.servers", upstream.id, upstream.entry(this.sequence));
        }
    }

    /** Writes the next version of the configuration to the store; all versions have the same routes. */
    private configure(): void {
        const route = (name: string, kind: string, rest: object) => ({
            name,
            host: "soak.example",
            path_prefix: `/${name}/`,
            kind,
            timeout_ms: name === "stream" ? 3_000 : 1_500,
            target_latency_ms: 300,
            priority: 1,
            service: "work",
            max_attempts: 2,
            ...rest,
        });
        this.store.put(
            "keyed.op",
            "config",
            JSON.stringify({
                version: this.version++,
                routes: [
                    route("once", "non_idempotent", { max_attempts: 1 }),
                    route("repeatable", "idempotent", {}),
                    route("stream", "streaming", { resumable: true, gap_aim_ms: 200 }),
                ],
                services: [{ name: "work", health_path: "/health", max_conns: 300 }],
                limits: { header_bytes: 16_384, body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
                tenants: [{ name: "ana", api_keys: ["key-1"] }],
            }),
        );
    }
}
