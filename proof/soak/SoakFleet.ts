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
    /** Of each VM; the next soak may use them again once this one has ended. */
    readonly ports: readonly SoakPorts[];
    readonly upstreams: number;
    readonly folder: string;
}

const heartbeatMs = 500;
const readyWithinMs = 60_000;
/** Bytes of a slow connection are this much late. */
const slowMs = 300;
const graceMs = 9_000;
/** Calls go on for this long after the last fault: the bound for recovery, and some to judge it by. */
const afterMs = 16_000;

/** The VMs, callers, upstreams and store of one soak. VMs are processes; faults come from outside them. */
export class SoakFleet {
    private readonly controller = new AbortController();
    private readonly store = new StoreStandin();
    private readonly calls: SoakCall[] = [];
    private readonly ownExits: string[] = [];
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

    /** Starts everything, plays the faults while callers call, and resolves with what was seen. */
    async play(faults: readonly SoakFault[]): Promise<SoakHistory> {
        await this.start();
        const calling = new AbortController();
        const callersDone = this.callers.map(caller => caller.run(calling.signal));
        await delay(1_000);
        const beginMs = this.nowMs();
        const played = faults.map(fault => ({ ...fault, atMs: fault.atMs + beginMs }));
        await Promise.all(played.map(fault => this.playFault(fault)));
        const calmMs = Math.max(this.nowMs(), ...played.map(fault => fault.atMs + (fault.kind === "stop" ? graceMs : fault.forMs)));
        await delay(calmMs + afterMs - this.nowMs());
        calling.abort();
        await Promise.all(callersDone);
        return {
            calls: this.calls,
            runs: this.upstreams.flatMap(upstream => upstream.runs),
            faults: played,
            ownExits: this.ownExits,
            vms: this.vms.map(vm => vm.name),
            calmMs,
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
        const beat = setInterval(() => {
            this.beat();
        }, heartbeatMs);
        signal.addEventListener("abort", () => {
            clearInterval(beat);
        }, { once: true });
        this.beat();
        const seeds = ports.slice(0, 3).map(({ peer }) => `127.0.0.1:${peer}`);
        const onOwnExit = (vm: string) => this.ownExits.push(vm);
        this.vms = ports.map((ofVm, index) => {
            const availabilityZone = `z${index % 3}`;
            return new SoakVm({ name: `front-${index}`, availabilityZone, storeAddress, seeds, ports: ofVm, folder, onOwnExit });
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
        await this.untilReady();
    }

    private async untilReady(): Promise<void> {
        const endMs = this.nowMs() + readyWithinMs;
        while (!(await Promise.all(this.vms.map(vm => vm.isReady()))).every(Boolean)) {
            if (this.nowMs() > endMs) {
                throw new Error(`not all VMs were ready after ${readyWithinMs} ms; see their logs in ${this.options.folder}`);
            }
            await delay(100);
        }
    }

    private async playFault(fault: SoakFault): Promise<void> {
        const { kind, atMs, forMs, target } = fault;
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
                await delay(forMs);
                vm?.signal("SIGCONT");
                break;
            case "configure":
                this.configure();
                break;
            case "store-silent":
                this.storeProxy?.swallow("both");
                this.setStoreFault("silent", forMs);
                break;
            case "store-refuses":
                this.setStoreFault("refuse", forMs);
                break;
            case "store-loses-answers":
                this.setStoreFault("lose-answer", forMs);
                break;
            case "store-forgets":
                this.store.forget("keyed.op");
                this.store.forget("keyed.servers");
                break;
            case "upstream-leaves":
                upstream?.setLeaving(true);
                await delay(forMs + graceMs);
                upstream?.setLeaving(false);
                break;
            default:
                await this.harmConnections(kind, kind.startsWith("store-") ? this.storeProxy : upstream?.proxy, forMs);
        }
    }

    private async harmConnections(kind: SoakFault["kind"], proxy: SwallowingProxy | undefined, forMs: number): Promise<void> {
        if (kind.endsWith("-resets")) {
            proxy?.resetAll();
        }
        else if (kind.endsWith("-silent") || kind.endsWith("-one-way")) {
            proxy?.swallow(kind.endsWith("-silent") ? "both" : "down");
        }
        else if (proxy !== undefined) {
            proxy.delayMs = slowMs;
            await delay(forMs);
            proxy.delayMs = 0;
        }
    }

    private setStoreFault(kind: Fault["kind"], durationMs: number): void {
        this.store.server.faults.set({ kind, durationMs, delayMs: 0, factor: 1, afterTokens: 0 });
    }

    private beat(): void {
        this.sequence++;
        for (const upstream of this.upstreams) {
            this.store.put("keyed.servers", upstream.id, upstream.entry(this.sequence));
        }
    }

    /** Writes the next version of the configuration; the routes of the callers are the same in each. */
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
