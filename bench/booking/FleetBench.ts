import { setTimeout as sleep } from "node:timers/promises";
import type { LogConfigService } from "../../src/node/config/LogConfigService.js";
import { createIncarnation } from "../../src/node/fleet/createIncarnation.js";
import { Vm } from "../../src/node/fleet/Vm.js";
import { defaultPeerLinkLimits } from "../../src/node/peer/defaultPeerLinkLimits.js";
import { WebSocketPeerLinks } from "../../src/node/peer/WebSocketPeerLinks.js";
import { SystemScheduler } from "../../src/node/timers/SystemScheduler.js";
import { ServiceClass } from "../../src/schema/config/ServiceClass.js";
import { Settings } from "../../src/schema/settings/Settings.js";
import { LogStandin } from "../../standins/log/LogStandin.js";
import { VmListStandin } from "../../standins/vmlist/VmListStandin.js";
import type { Figure } from "./Figure.js";

const zones = ["lautoka", "nadi", "ba"];
const vmCount = 9;
const burstChanges = 50;
const applyWaitMs = 10_000;
const secrets = { peerKey: "0123456789abcdef0123456789abcdef", operatorToken: "token" };

/** Measures the time until configuration changes are accepted on nine complete VMs with WebSocket peer links and membership. */
export class FleetBench {
    private readonly scheduler = new SystemScheduler();

    async run(): Promise<Figure[]> {
        const stop = new AbortController();
        const log = await new LogStandin().start(stop.signal);
        const vmList = await new VmListStandin().start(stop.signal);
        const vms: Vm[] = [];
        const seeds: string[] = [];
        for (let index = 0; index < vmCount; index++) {
            vms.push(await this.startVm(index, log.url, vmList, seeds, stop.signal));
        }
        while (!vms.every(vm => vm.isReady() && vm.membership.members.filter(member => member.state === "ready").length === vmCount)) {
            await sleep(10);
        }
        const one = await this.timeChanges(vms, ["first"]);
        const burst = await this.timeChanges(vms, Array.from({ length: burstChanges }, (...[, index]) => `burst-${index}`));
        stop.abort();
        return [
            { name: "acceptedMs", variant: `1 change, ${vmCount} VMs, real links`, value: one, unit: "ms" },
            { name: "acceptedMs", variant: `${burstChanges} changes, ${vmCount} VMs, real links`, value: burst, unit: "ms" },
        ];
    }

    /** Time in milliseconds until every change is accepted. Throws when one is not. */
    private async timeChanges(vms: readonly Vm[], names: readonly string[]): Promise<number> {
        const startMs = performance.now();
        const answers = await Promise.all(names.map((name, index) => vms[index % vms.length]?.config.apply(putClass(name), applyWaitMs)));
        const rejected = answers.find(answer => !answer?.isOk() || answer.value.status !== "accepted");
        if (rejected !== undefined) {
            throw new Error(`configuration change was not accepted, stopping the benchmark: ${JSON.stringify(rejected)}`);
        }
        return performance.now() - startMs;
    }

    private async startVm(index: number, logUrl: string, vmListUrl: string, seeds: string[], signal: AbortSignal): Promise<Vm> {
        const id = `vm${index}`;
        const settings = Settings.parse({
            vm: { id, availabilityZone: zones[index % zones.length], region: "fiji-west" },
            listen: { caller: { port: 0 }, operator: { port: 0 }, peer: { port: 0 } },
            peers: { seeds, key: { env: "UNUSED" } },
            operator: { token: { env: "UNUSED" } },
            platform: { log: { url: logUrl }, vmList: { url: vmListUrl }, weightStore: { url: vmListUrl } },
            config: { zones },
        });
        const incarnation = createIncarnation(this.scheduler.wallMs());
        const links = new WebSocketPeerLinks({
            self: { vm: id, incarnation },
            listenHost: "127.0.0.1",
            listenPort: 0,
            sharedKey: secrets.peerKey,
            scheduler: this.scheduler,
            limits: { ...defaultPeerLinkLimits, maxFrameBytes: settings.limits.maxPeerFrameBytes },
            tls: undefined,
        });
        const peerUrl = `ws://127.0.0.1:${(await links.start(signal))._unsafeUnwrap()}`;
        seeds.push(peerUrl);
        const vm = new Vm({
            settings,
            secrets,
            incarnation,
            links,
            peerUrl,
            callerTls: undefined,
            scheduler: this.scheduler,
            version: "bench",
        });
        vm.startTasks(signal);
        vm.markServing();
        return vm;
    }
}

function putClass(name: string): Parameters<LogConfigService["apply"]>[0] {
    const value = ServiceClass.parse({ name, tier: 0, firstTokenTargetMs: 450, tokenGapTargetMs: 35 });
    return { author: "operator", operations: [{ op: "put", object: { kind: "serviceClass", value }, readRevision: undefined }] };
}
