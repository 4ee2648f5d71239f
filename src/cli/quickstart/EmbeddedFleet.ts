import { randomBytes } from "node:crypto";
import { setTimeout } from "node:timers/promises";
import type { RunningVm } from "../../node/fleet/RunningVm.js";
import { startVm } from "../../node/fleet/startVm.js";
import { Settings } from "../../schema/settings/Settings.js";
import { version } from "../version.js";
import { exampleZones } from "./exampleZones.js";
import type { StandinUrls } from "./StandinUrls.js";
import { startStandins } from "./startStandins.js";

const secretBytes = 24;
const readyPollMs = 20;

/** Stand-ins and one VM in each of three availability zones, all in this process on loopback addresses. */
export class EmbeddedFleet {
    private constructor(
        readonly vms: readonly RunningVm[],
        readonly standins: StandinUrls,
        readonly operatorToken: string,
        private readonly controller: AbortController,
    ) {}

    /** Starts the stand-ins and VMs; resolves when every VM is ready and lists all VMs as ready. Throws when a VM does not start. */
    static async start(): Promise<EmbeddedFleet> {
        const controller = new AbortController();
        const standins = await startStandins(controller.signal);
        const secrets = { peerKey: randomBytes(secretBytes).toString("hex"), operatorToken: randomBytes(secretBytes).toString("hex") };
        const vms: RunningVm[] = [];
        for (const availabilityZone of exampleZones) {
            const settings = createVmSettings(availabilityZone, standins, vms.map(vm => vm.peerUrl));
            const started = await startVm(settings, secrets, version, controller.signal);
            if (started.isErr()) {
                controller.abort();
                throw new Error(started.error.message);
            }
            vms.push(started.value);
        }
        await waitUntil(() => vms.every(vm => vm.isReady() && vm.listReadyVms().length === vms.length));
        return new EmbeddedFleet(vms, standins, secrets.operatorToken, controller);
    }

    /** Drains every VM, then stops the stand-ins. */
    async stop(): Promise<void> {
        await Promise.all(this.vms.map(vm => vm.drain()));
        this.controller.abort();
    }
}

async function waitUntil(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await setTimeout(readyPollMs);
    }
}

function createVmSettings(availabilityZone: string, standins: StandinUrls, seeds: readonly string[]): Settings {
    // The secrets are passed to `startVm` directly, so the environment variables named here are not read.
    return Settings.parse({
        vm: { id: `${availabilityZone}-1`, availabilityZone, region: "fiji-west" },
        listen: { caller: { port: 0 }, operator: { port: 0 }, peer: { port: 0 } },
        peers: { seeds, key: { env: "UNUSED" } },
        operator: { token: { env: "UNUSED" } },
        platform: { log: { url: standins.log }, vmList: { url: standins.vmList }, weightStore: { url: standins.weightStore } },
        config: { zones: [...exampleZones] },
        timeouts: { drainNoticeMs: 0 },
    });
}
