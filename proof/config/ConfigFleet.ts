import type { ConfigView } from "../../src/core/config/ConfigView.js";
import { VirtualScheduler } from "../../src/core/util/VirtualScheduler.js";
import { LogConfigService } from "../../src/node/config/LogConfigService.js";
import type { ConfigObject } from "../../src/schema/config/ConfigObject.js";
import { ServiceClass } from "../../src/schema/config/ServiceClass.js";
import { ConfigSettings } from "../../src/schema/settings/ConfigSettings.js";
import type { ConfigEvent } from "../checker/ConfigEvent.js";
import { FakeLog } from "../fakes/FakeLog.js";
import type { FakeLogClient } from "../fakes/FakeLogClient.js";
import { FakePeers } from "../fakes/FakePeers.js";
import { FakeProcess } from "../fakes/FakeProcess.js";
import type { ConfigStep } from "./ConfigStep.js";

const zones = ["lautoka", "nadi", "ba"];
const vmCount = 4;
const settings = ConfigSettings.parse({ snapshotEveryRecords: 2, zones });
const settleMs = 20_000;
const startMs = 500;

type ApplyStep = Extract<ConfigStep, { kind: "apply"; }>;

interface FleetVm {
    readonly process: FakeProcess;
    readonly client: FakeLogClient;
    readonly service: LogConfigService;
    readonly incarnation: string;
}

/** Runs the real configuration service on four VMs in three zones over a fake log and fake peers, and records the history. */
export class ConfigFleet {
    readonly history: ConfigEvent[] = [];
    private readonly scheduler = new VirtualScheduler(1_700_000_000_000);
    private readonly log = new FakeLog(this.scheduler);
    private readonly peers = new FakePeers(this.scheduler);
    private readonly vms: FleetVm[] = [];
    private incarnationCount = 0;
    private changeCount = 0;

    /** `plant` can inject a fault into each service, to show that the checker detects it. */
    constructor(private readonly plant: (service: LogConfigService, vm: number) => void = () => undefined) {
        this.log.onLanded = (stream, offset, payload) => {
            if (stream === settings.stream) {
                this.history.push({ type: "landed", atMs: this.scheduler.nowMs(), offset, payload });
            }
        };
        for (let vm = 0; vm < vmCount; vm++) {
            this.startVm(vm);
        }
    }

    /** Waits for the initial VMs to start without faults, then creates the service classes. */
    async begin(): Promise<void> {
        await this.scheduler.advanceAsync(startMs);
        for (const object of ["class-a", "class-b"] as const) {
            this.apply({ kind: "apply", vm: 0, object, op: "put", value: 0, revision: "none", waitMs: startMs });
            await this.scheduler.advanceAsync(startMs);
        }
    }

    async perform(step: ConfigStep): Promise<void> {
        switch (step.kind) {
            case "advance":
                await this.scheduler.advanceAsync(step.durationMs);
                break;
            case "apply":
                this.apply(step);
                break;
            case "cutZone":
                this.peers.cut(zones[step.zone] as string);
                break;
            case "healZone":
                this.peers.heal(zones[step.zone] as string);
                break;
            case "foreignRecord":
                this.log.land(settings.stream, new TextEncoder().encode(step.content));
                break;
            case "forget":
                this.forget(step.kept);
                break;
            default:
                await this.performOnVm(step, this.vms[step.vm] as FleetVm);
        }
        this.recordViews();
    }

    /** Clears every fault and waits for the fleet to settle. */
    async finish(): Promise<void> {
        for (const zone of zones) {
            this.peers.heal(zone);
        }
        for (const [index, vm] of this.vms.entries()) {
            await vm.process.resume(false, false);
            vm.client.isDown = false;
            vm.client.delayMs = 1;
            vm.client.appendFaults.length = 0;
            vm.client.wake();
            this.restart(index);
        }
        await this.scheduler.advanceAsync(settleMs);
        this.recordViews();
        this.history.push({ type: "settled", atMs: this.scheduler.nowMs(), fleet: this.fleetState() });
    }

    private async performOnVm(step: Extract<ConfigStep, { vm: number; }>, vm: FleetVm): Promise<void> {
        switch (step.kind) {
            case "crash":
                vm.process.crash();
                this.peers.crash(`vm${step.vm}`);
                break;
            case "start":
                this.restart(step.vm);
                break;
            case "replace":
                vm.process.crash();
                this.startVm(step.vm);
                break;
            case "pause":
                vm.process.pause();
                break;
            case "resume":
                await vm.process.resume(step.isNewestFirst, false);
                break;
            case "logDown":
            case "logUp":
                vm.client.isDown = step.kind === "logDown";
                vm.client.wake();
                break;
            case "logDelay":
                vm.client.delayMs = step.delayMs;
                break;
            case "appendFault":
                vm.client.appendFaults.push(step.fault);
                break;
        }
    }

    private startVm(index: number): void {
        const process = new FakeProcess(this.scheduler);
        const client = this.log.client();
        client.gate = () => process.gate();
        const vm = `vm${index}`;
        const incarnation = String(this.incarnationCount++);
        const service: LogConfigService = new LogConfigService({
            log: client,
            scheduler: process.scheduler,
            settings,
            vm,
            membership: this.peers.membership(vm),
            links: this.peers.links(vm),
            uniqueId: () => `change-${this.changeCount++}`,
        });
        this.plant(service, index);
        this.peers.add(
            vm,
            zones[index % zones.length] as string,
            incarnation,
            () => service.view.offset,
            () => service.isReady,
            () => process.gate(),
        );
        this.vms[index] = { process, client, service, incarnation };
        service.onChange(() => {
            this.recordView(index);
        }, new AbortController().signal);
        void service.start(new AbortController().signal);
    }

    private restart(index: number): void {
        if (this.vms[index]?.process.isCrashed) {
            this.startVm(index);
        }
    }

    private apply(step: ApplyStep): void {
        const vm = this.vms[step.vm] as FleetVm;
        if (!vm.process.isRunning) {
            return;
        }
        const author = `operator-${this.history.length}`;
        const object = objectOf(step);
        const current = vm.service.findRevision(object.kind, object.value.name);
        const readRevision = step.revision === "none" ? undefined : step.revision === "old" ? Math.max(0, (current ?? 0) - 1) : current;
        this.history.push({ type: "asked", atMs: this.scheduler.nowMs(), author, vm: `vm${step.vm}`, incarnation: vm.incarnation });
        const operation = step.op === "put"
            ? { op: "put" as const, object, readRevision }
            : { op: "delete" as const, kind: object.kind, name: object.value.name, readRevision };
        void vm.service.apply({ author, operations: [operation] }, step.waitMs).match(
            answer => {
                this.recordTold(author, answer);
            },
            error => {
                this.recordTold(author, { status: error.kind });
            },
        );
    }

    private recordTold(author: string, told: Extract<ConfigEvent, { type: "told"; }>["told"]): void {
        this.history.push({ type: "told", atMs: this.scheduler.nowMs(), author, told, fleet: this.fleetState() });
    }

    private forget(kept: number): void {
        const snapshots = this.log.stream(settings.snapshotStream).records;
        const newest = snapshots.at(-1);
        if (newest === undefined) {
            return;
        }
        const coveredOffset = (JSON.parse(new TextDecoder().decode(newest.payload)) as { offset: number; }).offset;
        const stream = this.log.stream(settings.stream);
        const afterCovered = stream.records.filter(record => record.offset > coveredOffset).length;
        this.log.forget(settings.stream, Math.max(kept, afterCovered));
        this.log.forget(settings.snapshotStream, 1);
    }

    private fleetState(): Extract<ConfigEvent, { type: "settled"; }>["fleet"] {
        return this.vms.flatMap(({ process, service, incarnation }, index) =>
            process.isCrashed
                ? []
                : [{
                    vm: `vm${index}`,
                    incarnation,
                    availabilityZone: zones[index % zones.length] as string,
                    isReady: service.isReady,
                    offset: service.view.offset,
                }]
        );
    }

    private recordViews(): void {
        for (const [index, vm] of this.vms.entries()) {
            if (!vm.process.isCrashed) {
                this.recordView(index);
            }
        }
    }

    private recordView(index: number): void {
        const { service, incarnation } = this.vms[index] as FleetVm;
        this.history.push({
            type: "view",
            atMs: this.scheduler.nowMs(),
            vm: `vm${index}`,
            incarnation,
            isReady: service.isReady,
            offset: service.view.offset,
            content: contentOf(service.view),
        });
    }
}

function objectOf(step: ApplyStep): ConfigObject {
    if (step.object === "customer") {
        const classes = step.value % 2 === 0 ? ["class-a"] : ["class-a", "class-b"];
        return { kind: "customer", value: { name: "vatukoula", keyHashes: [], classes, defaultClass: "class-a" } };
    }
    const value = ServiceClass.parse({ name: step.object, tier: step.value, firstTokenTargetMs: 450, tokenGapTargetMs: 35 });
    return { kind: "serviceClass", value };
}

function contentOf(view: ConfigView): string {
    const objects: [string, unknown][] = [
        ...[...view.serviceClasses].map(([name, value]): [string, unknown] => [`serviceClass/${name}`, value]),
        ...[...view.customers].map(([name, value]): [string, unknown] => [`customer/${name}`, value]),
    ];
    return JSON.stringify(objects.sort(([left], [right]) => left < right ? -1 : 1));
}
