import { randomBytes } from "node:crypto";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { stringify } from "yaml";
import { applyExampleConfig } from "../../src/cli/quickstart/applyExampleConfig.js";
import { createFleetOperatorClient } from "../../src/cli/quickstart/createFleetOperatorClient.js";
import { exampleZones } from "../../src/cli/quickstart/exampleZones.js";
import type { StandinUrls } from "../../src/cli/quickstart/StandinUrls.js";
import type { EngineStandin } from "../../standins/engine/EngineStandin.js";
import type { LogStandin } from "../../standins/log/LogStandin.js";
import { SwallowingProxy } from "../../standins/proxy/SwallowingProxy.js";
import type { ServiceStandin } from "../../standins/service/ServiceStandin.js";
import type { VmListStandin } from "../../standins/vmlist/VmListStandin.js";
import { freePort } from "./freePort.js";
import { startPlatform } from "./startPlatform.js";
import { VmProcess } from "./VmProcess.js";
import { waitUntil } from "./waitUntil.js";

/** The stand-ins of a process fleet, which run in the process of the test. */
interface Platform {
    readonly urls: StandinUrls;
    readonly log: LogStandin;
    readonly vmList: VmListStandin;
    readonly engines: ReadonlyMap<string, EngineStandin>;
    readonly services: ReadonlyMap<string, ServiceStandin>;
}

/** VMs in separate processes, the same number in each availability zone, with the example configuration applied; the stand-ins run in this process. */
export class ProcessFleet {
    readonly vms: VmProcess[] = [];
    readonly operatorToken = randomBytes(24).toString("hex");
    private readonly peerKey = randomBytes(24).toString("hex");
    private readonly folder = mkdtempSync(join(tmpdir(), "orioleshelf-fleet-"));
    private readonly controller = new AbortController();
    /** All connections between VMs pass through these proxies. */
    private readonly proxies: SwallowingProxy[] = [];
    private startedCount = 0;

    private constructor(readonly platform: Platform) {}

    static async start(vmsPerZone = 1): Promise<ProcessFleet> {
        const controller = new AbortController();
        const fleet = new ProcessFleet(await startPlatform(controller.signal));
        fleet.controller.signal.addEventListener("abort", () => {
            controller.abort();
        });
        const [firstZone, ...otherZones] = Array(vmsPerZone).fill(exampleZones).flat() as string[];
        fleet.vms.push(await fleet.startVm(firstZone as string));
        fleet.vms.push(...await Promise.all(otherZones.map(zone => fleet.startVm(zone))));
        await fleet.waitUntilConverged();
        await applyExampleConfig(fleet);
        return fleet;
    }

    get standins(): StandinUrls {
        return this.platform.urls;
    }

    /** Starts another VM in an availability zone and adds it to the platform's list; the caller adds it to `vms`. */
    async startVm(availabilityZone: string): Promise<VmProcess> {
        const id = `${availabilityZone}-${++this.startedCount}`;
        const file = join(this.folder, `${id}.yaml`);
        const peerPort = await freePort();
        const proxy = new SwallowingProxy(peerPort);
        this.proxies.push(proxy);
        const advertiseUrl = `ws://127.0.0.1:${await proxy.start(this.controller.signal)}`;
        writeFileSync(file, stringify(this.settings(id, availabilityZone, peerPort, advertiseUrl)));
        const vm = await VmProcess.start(id, file, { ORIOLESHELF_PEER_KEY: this.peerKey, ORIOLESHELF_OPERATOR_TOKEN: this.operatorToken });
        this.platform.vmList.setVm({ vm: id, availabilityZone, peerUrl: vm.peerUrl, leaving: false });
        return vm;
    }

    /** Waits until every running VM is ready and sees as many ready members as there are running VMs. */
    async waitUntilConverged(): Promise<void> {
        const running = this.vms.filter(vm => vm.isRunning);
        for (const vm of running) {
            await waitUntil(`${vm.id} is ready`, () => vm.isReady());
            await waitUntil(`${vm.id} sees all running VMs as ready`, async () => (await this.readyMembers(vm)).length === running.length);
        }
    }

    /** Partitions every VM from all others: bytes on open connections are silently dropped, and new connections fail. */
    cutLinks(): void {
        for (const proxy of this.proxies) {
            proxy.swallow("both");
            proxy.refuseNew(true);
        }
    }

    healLinks(): void {
        for (const proxy of this.proxies) {
            proxy.refuseNew(false);
        }
    }

    /** Returns the ids of the VMs that `vm` sees as ready, including itself. */
    async readyMembers(vm: VmProcess): Promise<string[]> {
        const { members } = await createFleetOperatorClient({ ...this.operatorTarget(), vms: [vm] }).status({});
        return members.filter(member => member.state === "ready").map(member => member.vm);
    }

    async stop(): Promise<void> {
        for (const vm of this.vms) {
            vm.signal("SIGCONT");
        }
        await Promise.all(this.vms.map(vm => vm.destroy()));
        this.controller.abort();
        rmSync(this.folder, { recursive: true });
    }

    /** Counts the executions of each idempotency key over all plain services of both paths. */
    executionsByKey(): Map<string, number> {
        const counts = new Map<string, number>();
        for (const service of this.platform.services.values()) {
            for (const { idempotencyKey } of service.calls) {
                if (idempotencyKey !== undefined) {
                    counts.set(idempotencyKey, (counts.get(idempotencyKey) ?? 0) + 1);
                }
            }
        }
        return counts;
    }

    private operatorTarget() {
        return { standins: this.standins, operatorToken: this.operatorToken };
    }

    private settings(id: string, availabilityZone: string, peerPort: number, advertiseUrl: string): unknown {
        const { log, vmList, weightStore } = this.standins;
        return {
            vm: { id, availabilityZone, region: "fiji-west" },
            listen: { caller: { port: 0 }, operator: { port: 0 }, peer: { port: peerPort } },
            peers: { advertiseUrl, seeds: this.vms.map(vm => vm.peerUrl), key: { env: "ORIOLESHELF_PEER_KEY" } },
            operator: { token: { env: "ORIOLESHELF_OPERATOR_TOKEN" } },
            platform: { log: { url: log }, vmList: { url: vmList }, weightStore: { url: weightStore } },
            config: { zones: [...exampleZones] },
            timeouts: { drainNoticeMs: 300 },
            logs: { parts: process.env["ORIOLESHELF_TEST_LOGS"] ?? "" },
        };
    }
}
