import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { FakePeers } from "../../proof/fakes/FakePeers.js";
import { ConfigFold } from "../../src/core/config/ConfigFold.js";
import { encodeSnapshot } from "../../src/node/config/encodeSnapshot.js";
import { LogConfigService } from "../../src/node/config/LogConfigService.js";
import { HttpLogClient } from "../../src/node/platform/log/HttpLogClient.js";
import { SystemScheduler } from "../../src/node/timers/SystemScheduler.js";
import { ServiceClass } from "../../src/schema/config/ServiceClass.js";
import { ConfigSettings } from "../../src/schema/settings/ConfigSettings.js";
import { LogStandin } from "../../standins/log/LogStandin.js";
import type { Figure } from "./Figure.js";

const zones = ["lautoka", "nadi", "ba"];
const vmCount = 9;
const changesPerDay = 6_900;
const burstChanges = 50;
const concurrentOperators = 10;
const applyWaitMs = 10_000;
const daySeconds = 86_400;
const customerCount = 1_200;

type Change = Parameters<LogConfigService["apply"]>[0];

/** Measures the configuration service on nine VMs that share a log stand-in and exchange messages over fake peer links. */
export class ConfigBench {
    private readonly scheduler = new SystemScheduler();

    async run(): Promise<Figure[]> {
        return [...await this.measureStart(), ...await this.measurePropagation(), this.measureFold()];
    }

    /** Time until a new VM is ready: from the log records of one day, and from a snapshot of these records. */
    private async measureStart(): Promise<Figure[]> {
        const stop = new AbortController();
        const standin = new LogStandin();
        const { url } = await standin.start(stop.signal);
        const fold = new ConfigFold();
        for (const payload of encodeDayOfChanges()) {
            fold.fold(standin.appendDirectly("config", payload), payload);
        }
        const fromRecords = await this.timeStart(url, stop.signal);
        standin.appendDirectly("config-snapshots", encodeSnapshot(fold.snapshot()));
        const fromSnapshot = await this.timeStart(url, stop.signal);
        stop.abort();
        return [
            { name: "readyMs", variant: `${changesPerDay} changes`, value: fromRecords, unit: "ms" },
            { name: "readyMs", variant: `snapshot of ${changesPerDay} changes`, value: fromSnapshot, unit: "ms" },
        ];
    }

    private async timeStart(url: string, signal: AbortSignal): Promise<number> {
        const startMs = performance.now();
        const service = this.startVm(url, "new", "nadi", new FakePeers(this.scheduler), signal);
        while (!service.isReady) {
            await sleep(1);
        }
        return performance.now() - startMs;
    }

    /** Time until changes that are submitted concurrently on different VMs are answered and in force on every VM. */
    private async measurePropagation(): Promise<Figure[]> {
        const stop = new AbortController();
        const standin = new LogStandin();
        const { url } = await standin.start(stop.signal);
        const peers = new FakePeers(this.scheduler);
        const vms = Array.from(
            { length: vmCount },
            (...[, index]) => this.startVm(url, `vm${index}`, zones[index % zones.length] ?? "", peers, stop.signal),
        );
        while (!vms.every(vm => vm.isReady)) {
            await sleep(1);
        }
        const burst = await this.timeChanges(vms, Array.from({ length: burstChanges }, (...[, index]) => putClass(`burst-${index}`, 0)));
        const race = await this.timeChanges(vms, Array.from({ length: concurrentOperators }, (...[, index]) => putClass("raced", index)));
        stop.abort();
        return [
            { name: "burstInForceMs", variant: `${burstChanges} changes on ${vmCount} VMs`, value: burst.tookMs, unit: "ms" },
            { name: "burstAccepted", variant: `${burstChanges} changes on ${vmCount} VMs`, value: burst.accepted, unit: "changes" },
            { name: "raceInForceMs", variant: `${concurrentOperators} operators`, value: race.tookMs, unit: "ms" },
            { name: "raceAccepted", variant: `${concurrentOperators} operators`, value: race.accepted, unit: "changes" },
        ];
    }

    private async timeChanges(
        vms: readonly LogConfigService[],
        changes: readonly Change[],
    ): Promise<{ tookMs: number; accepted: number; }> {
        const startMs = performance.now();
        const answers = await Promise.all(changes.map((change, index) => vms[index % vms.length]?.apply(change, applyWaitMs)));
        const last = Math.max(...answers.map(answer => answer?.isOk() ? answer.value.offset : -1));
        while (!vms.every(vm => vm.view.offset >= last)) {
            await sleep(1);
        }
        const accepted = answers.filter(answer => answer?.isOk() && answer.value.status === "accepted").length;
        return { tookMs: performance.now() - startMs, accepted };
    }

    /** CPU time for folding the changes of one day, as a share of one core. */
    private measureFold(): Figure {
        const payloads = encodeDayOfChanges();
        const fold = new ConfigFold();
        const before = process.cpuUsage();
        payloads.forEach((payload, offset) => {
            fold.fold(offset, payload);
            fold.view();
        });
        const { user, system } = process.cpuUsage(before);
        const value = (user + system) / 1e6 / daySeconds;
        return { name: "dayFoldCoreShare", variant: `${changesPerDay} changes, ${customerCount} customers`, value, unit: "cores" };
    }

    private startVm(url: string, vm: string, zone: string, peers: FakePeers, signal: AbortSignal): LogConfigService {
        const log = new HttpLogClient({ url, availabilityZone: zone, scheduler: this.scheduler });
        log.start(signal);
        const service: LogConfigService = new LogConfigService({
            log,
            scheduler: this.scheduler,
            settings: ConfigSettings.parse({}),
            vm,
            membership: peers.membership(vm),
            links: peers.links(vm),
            uniqueId: randomUUID,
        });
        peers.add(vm, zone, "1", () => service.view.offset, () => service.isReady);
        void service.start(signal);
        return service;
    }
}

function putClass(name: string, tier: number): Change {
    const value = ServiceClass.parse({ name, tier, firstTokenTargetMs: 450, tokenGapTargetMs: 35 });
    return { author: "operator", operations: [{ op: "put", object: { kind: "serviceClass", value }, readRevision: undefined }] };
}

/** Log records of one day: one service class, then customers that are created and updated in turn up to `changesPerDay` records. */
function encodeDayOfChanges(): Uint8Array[] {
    const encoder = new TextEncoder();
    return Array.from({ length: changesPerDay }, (...[, index]) => {
        const name = `customer-${index % customerCount}`;
        const value = { name, keyHashes: [index.toString(16).padStart(64, "0")], classes: ["urgent"], defaultClass: "urgent" };
        const operations = index === 0
            ? putClass("urgent", 0).operations
            : [{ op: "put", object: { kind: "customer", value }, readRevision: index - 1 }];
        return encoder.encode(JSON.stringify({ type: "change", formatVersion: 1, changeId: `c${index}`, author: "operator", operations }));
    });
}
