import { expect } from "earl";
import { errAsync, okAsync, ResultAsync } from "neverthrow";
import { afterEach, test } from "node:test";
import { FakeLog } from "../../../proof/fakes/FakeLog.js";
import { FakeProcess } from "../../../proof/fakes/FakeProcess.js";
import type { ConfigView } from "../../core/config/ConfigView.js";
import { VirtualScheduler } from "../../core/util/VirtualScheduler.js";
import { Pool } from "../../schema/config/Pool.js";
import type { Upstream } from "../../schema/config/Upstream.js";
import type { EngineOrder } from "../../schema/orders/EngineOrder.js";
import type { EngineReport } from "../../schema/orders/EngineReport.js";
import type { EngineOrderClient } from "./EngineOrderClient.js";
import type { EngineOrderError } from "./EngineOrderError.js";
import { EngineOrderTask } from "./EngineOrderTask.js";

const engineIds = ["engine-1", "engine-2", "engine-3"];
const loadDurationMs = 3000;

/** An order that an engine executed. */
interface ExecutedOrder {
    readonly engineId: string;
    readonly order: EngineOrder;
    readonly atMs: number;
}

/** Engines that execute orders and, with `checksFencing`, reject those with a stale fencing number. */
class FakeEngines {
    readonly obeyed: ExecutedOrder[] = [];
    readonly refusedStale: EngineOrder[] = [];
    private readonly reports = new Map<string, EngineReport>();

    constructor(private readonly scheduler: VirtualScheduler, private readonly checksFencing: boolean) {
        for (const id of engineIds) {
            this.reports.set(id, { models: [{ model: "chat", version: "1", state: "ready" }], role: "both", fencingNumber: -1 });
        }
    }

    report(id: string): EngineReport {
        return this.reports.get(id) as EngineReport;
    }

    receive(id: string, order: EngineOrder): EngineOrderError | undefined {
        const report = this.report(id);
        if (this.checksFencing && order.fencingNumber < report.fencingNumber) {
            this.refusedStale.push(order);
            return { kind: "stale", message: "stale" };
        }
        this.obeyed.push({ engineId: id, order, atMs: this.scheduler.nowMs() });
        const others = report.models.filter(reportedModel => reportedModel.version !== order.version);
        const models = order.action === "load"
            ? [...others, { model: order.model, version: order.version, state: "loading" as const }]
            : others;
        this.reports.set(id, { ...report, models, fencingNumber: Math.max(report.fencingNumber, order.fencingNumber) });
        this.scheduler.after(loadDurationMs, () => {
            this.finishLoad(id, order.version);
        }, new AbortController().signal);
        return undefined;
    }

    readyCount(version?: string): number {
        return engineIds.filter(id =>
            this.report(id).models.some(reportedModel =>
                reportedModel.state === "ready" && (version === undefined || reportedModel.version === version)
            )
        ).length;
    }

    private finishLoad(id: string, version: string): void {
        const report = this.report(id);
        const models = report.models.map(reportedModel =>
            reportedModel.version === version ? { ...reportedModel, state: "ready" as const } : reportedModel
        );
        this.reports.set(id, { ...report, models });
    }
}

/** One VM's client of the engines, which can delay orders and lose their responses. */
class FakeOrderClient implements EngineOrderClient {
    orderDelayMs = 1;
    responsesToLose = 0;

    constructor(
        private readonly engines: FakeEngines,
        private readonly scheduler: VirtualScheduler,
        private readonly process: FakeProcess,
    ) {}

    readState(upstream: Upstream): ResultAsync<EngineReport, EngineOrderError> {
        return okAsync(structuredClone(this.engines.report(upstream.id)));
    }

    send(upstream: Upstream, order: EngineOrder): ResultAsync<undefined, EngineOrderError> {
        const arrived = new Promise<EngineOrderError | undefined>(resolve => {
            this.scheduler.after(this.orderDelayMs, () => {
                const error = this.engines.receive(upstream.id, order);
                this.process.deliver(() => {
                    resolve(this.responsesToLose-- > 0 ? { kind: "unknown", message: "lost" } : error);
                });
            }, new AbortController().signal);
        });
        return ResultAsync.fromSafePromise<EngineOrderError | undefined, EngineOrderError>(arrived)
            .andThen(error => error === undefined ? okAsync(undefined) : errAsync(error));
    }
}

let stop = new AbortController();

afterEach(() => {
    stop.abort();
    stop = new AbortController();
});

class Fleet {
    readonly scheduler = new VirtualScheduler();
    readonly log = new FakeLog(this.scheduler);
    readonly engines: FakeEngines;
    readonly vms: { readonly process: FakeProcess; readonly client: FakeOrderClient; readonly task: EngineOrderTask; }[] = [];
    candidateIndex = 0;
    private nextId = 0;
    private minReadyCount = Infinity;

    constructor(private readonly checksFencing: boolean) {
        this.engines = new FakeEngines(this.scheduler, checksFencing);
        for (const index of [0, 1]) {
            this.startVm(index);
        }
    }

    /** Advances time and tracks the lowest number of ready engines. */
    async run(durationMs: number): Promise<void> {
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 100) {
            await this.scheduler.advanceAsync(100);
            this.minReadyCount = Math.min(this.minReadyCount, this.engines.readyCount());
        }
    }

    /** Checks the invariants: fencing numbers of executed orders never decrease, and at least one engine is always ready. */
    expectSafe(): void {
        const numbers = this.engines.obeyed.map(({ order }) => order.fencingNumber);
        expect(numbers).toEqual([...numbers].sort((left, right) => left - right));
        expect(this.minReadyCount).toBeGreaterThanOrEqual(1);
    }

    expectUpgraded(): void {
        expect(engineIds.map(id => this.engines.report(id).models)).toEqual(
            engineIds.map(() => [{ model: "chat", version: "2", state: "ready" }]),
        );
    }

    private startVm(index: number): void {
        const process = new FakeProcess(this.scheduler);
        const logClient = this.log.client();
        logClient.gate = () => process.gate();
        const client = new FakeOrderClient(this.engines, this.scheduler, process);
        const task = new EngineOrderTask({
            vm: `vm-${index}`,
            incarnation: "1",
            log: logClient,
            scheduler: process.scheduler,
            client,
            config: { view: createConfigView(this.checksFencing) },
            isCandidate: () => this.candidateIndex === index,
            maxLoading: () => 1,
            isLeaving: () => false,
            uniqueId: () => `id-${this.nextId++}`,
        });
        task.start(stop.signal);
        this.vms.push({ process, client, task });
    }
}

function createConfigView(checksFencing: boolean): ConfigView {
    const pool = Pool.parse({
        name: "engines",
        path: "new",
        kind: "engine",
        services: ["chat"],
        upstreams: engineIds.map(id => ({ id, url: "http://127.0.0.1:1", availabilityZone: "nadi" })),
        repeatable: true,
        checksFencing,
        placements: [{ model: "chat", version: "2", replicas: 3 }],
    });
    return { offset: 0, serviceClasses: new Map(), customers: new Map(), pools: new Map([["engines", pool]]), pathShares: new Map() };
}

for (const checksFencing of [true, false]) {
    const kind = checksFencing ? "engines that check fencing" : "engines that ignore fencing";

    test(`${kind}: all engines are upgraded one load at a time, and one is always ready`, async () => {
        const fleet = new Fleet(checksFencing);
        await fleet.run(40_000);
        fleet.expectUpgraded();
        fleet.expectSafe();
        expect(fleet.engines.obeyed.map(({ order }) => order.action).sort()).toEqual([
            "load",
            "load",
            "load",
            "unload",
            "unload",
            "unload",
        ]);
    });

    test(`${kind}: an order whose response is lost is not repeated once it took effect`, async () => {
        const fleet = new Fleet(checksFencing);
        fleet.vms[0]!.client.responsesToLose = 4;
        await fleet.run(60_000);
        fleet.expectUpgraded();
        fleet.expectSafe();
        expect(fleet.engines.obeyed.length).toEqual(6);
    });

    for (const wasSuspended of [false, true]) {
        test(`${kind}: a holder that is ${wasSuspended ? "suspended" : "paused"} past its lease sends no order when it resumes`, async () => {
            const fleet = new Fleet(checksFencing);
            const [first, second] = fleet.vms as [typeof fleet.vms[0], typeof fleet.vms[0]];
            await fleet.run(4500);
            const before = fleet.engines.obeyed.length;
            expect(before).toBeGreaterThan(0);
            first.process.pause();
            fleet.candidateIndex = 1;
            await fleet.run(30_000);
            await first.process.resume(false, wasSuspended);
            await fleet.run(30_000);
            fleet.expectUpgraded();
            fleet.expectSafe();
            expect(first.task.heldFencingNumber).toEqual(undefined);
            expect(second.task.heldFencingNumber).not.toEqual(undefined);
        });
    }

    test(`${kind}: an order of the former holder that arrives after its crash and a takeover does not undo the upgrade`, async () => {
        const fleet = new Fleet(checksFencing);
        const first = fleet.vms[0]!;
        await fleet.run(1500);
        first.client.orderDelayMs = 4900;
        await fleet.run(3000);
        first.process.crash();
        fleet.candidateIndex = 1;
        await fleet.run(60_000);
        fleet.expectUpgraded();
        fleet.expectSafe();
    });
}

test("the holder stops at its lease deadline while the log is down, and continues once the log is back", async () => {
    const fleet = new Fleet(true);
    await fleet.run(3000);
    for (const client of fleet.log.clients) {
        client.isDown = true;
    }
    await fleet.run(12_000);
    expect(fleet.vms.map(vm => vm.task.heldFencingNumber)).toEqual([undefined, undefined]);
    const before = fleet.engines.obeyed.length;
    await fleet.run(10_000);
    expect(fleet.engines.obeyed.length).toEqual(before);
    for (const client of fleet.log.clients) {
        client.isDown = false;
    }
    await fleet.run(40_000);
    fleet.expectUpgraded();
    fleet.expectSafe();
});

test("a lost response to an acquire record and an acquire record appended late leave one holder at a time", async () => {
    const fleet = new Fleet(true);
    fleet.log.clients[0]!.appendFaults.push({ kind: "lose-answer" }, { kind: "late", afterMs: 20_000 });
    await fleet.run(15_000);
    fleet.candidateIndex = 1;
    await fleet.run(60_000);
    fleet.expectUpgraded();
    fleet.expectSafe();
    expect(fleet.vms.map(vm => vm.task.heldFencingNumber !== undefined)).toEqual([false, true]);
});

test("self-check: a holder that ignores its lease deadline makes fencing numbers decrease at engines that ignore fencing", async () => {
    const fleet = new Fleet(false);
    const [first] = fleet.vms as [typeof fleet.vms[0]];
    const leaseManager = (first.task as unknown as { leaseManager: { heldLease: unknown; getHeldLease(): unknown; }; }).leaseManager;
    let last: unknown;
    leaseManager.getHeldLease = () => last = leaseManager.heldLease ?? last;
    await fleet.run(4500);
    first.process.pause();
    fleet.candidateIndex = 1;
    await fleet.run(20_000);
    await first.process.resume(false, false);
    await fleet.run(30_000);
    const numbers = fleet.engines.obeyed.map(({ order }) => order.fencingNumber);
    expect(numbers).not.toEqual([...numbers].sort((left, right) => left - right));
});
