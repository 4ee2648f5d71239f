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
const loadMs = 3000;

/** What an engine obeyed, in order. */
interface Obeyed {
    readonly engineId: string;
    readonly order: EngineOrder;
    readonly atMs: number;
}

/** Engines that take orders; whether they check the fencing number is theirs. */
class FakeEngines {
    readonly obeyed: Obeyed[] = [];
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

    take(id: string, order: EngineOrder): EngineOrderError | undefined {
        const report = this.report(id);
        if (this.checksFencing && order.fencingNumber < report.fencingNumber) {
            this.refusedStale.push(order);
            return { kind: "stale", message: "stale" };
        }
        this.obeyed.push({ engineId: id, order, atMs: this.scheduler.nowMs() });
        const others = report.models.filter(held => held.version !== order.version);
        const models = order.action === "load"
            ? [...others, { model: order.model, version: order.version, state: "loading" as const }]
            : others;
        this.reports.set(id, { ...report, models, fencingNumber: Math.max(report.fencingNumber, order.fencingNumber) });
        this.scheduler.after(loadMs, () => {
            this.finishLoad(id, order.version);
        }, new AbortController().signal);
        return undefined;
    }

    readyCount(version?: string): number {
        return engineIds.filter(id =>
            this.report(id).models.some(held => held.state === "ready" && (version === undefined || held.version === version))
        ).length;
    }

    private finishLoad(id: string, version: string): void {
        const report = this.report(id);
        const models = report.models.map(held => held.version === version ? { ...held, state: "ready" as const } : held);
        this.reports.set(id, { ...report, models });
    }
}

/** One VM's way to the engines: orders can be delayed, and their answers lost. */
class FakeOrderClient implements EngineOrderClient {
    orderDelayMs = 1;
    answersToLose = 0;

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
                const error = this.engines.take(upstream.id, order);
                this.process.deliver(() => {
                    resolve(this.answersToLose-- > 0 ? { kind: "unknown", message: "lost" } : error);
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
    candidate = 0;
    private ids = 0;
    private lowestReady = Infinity;

    constructor(private readonly checksFencing: boolean) {
        this.engines = new FakeEngines(this.scheduler, checksFencing);
        for (const index of [0, 1]) {
            this.startVm(index);
        }
    }

    /** Runs on, keeping the lowest number of ready engines seen. */
    async run(durationMs: number): Promise<void> {
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 100) {
            await this.scheduler.advanceAsync(100);
            this.lowestReady = Math.min(this.lowestReady, this.engines.readyCount());
        }
    }

    /** Rules that hold whatever happens: one VM's orders after the other's, and a service is never without a ready engine. */
    expectSafe(): void {
        const numbers = this.engines.obeyed.map(({ order }) => order.fencingNumber);
        expect(numbers).toEqual([...numbers].sort((left, right) => left - right));
        expect(this.lowestReady).toBeGreaterThanOrEqual(1);
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
            config: { view: viewOf(this.checksFencing) },
            isCandidate: () => this.candidate === index,
            maxLoading: () => 1,
            isLeaving: () => false,
            uniqueId: () => `id-${this.ids++}`,
        });
        task.start(stop.signal);
        this.vms.push({ process, client, task });
    }
}

function viewOf(checksFencing: boolean): ConfigView {
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

    test(`${kind}: all are brought to the wanted version, one load at a time, without a moment unserved`, async () => {
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

    test(`${kind}: lost answers repeat no order that took effect`, async () => {
        const fleet = new Fleet(checksFencing);
        fleet.vms[0]!.client.answersToLose = 4;
        await fleet.run(60_000);
        fleet.expectUpgraded();
        fleet.expectSafe();
        expect(fleet.engines.obeyed.length).toEqual(6);
    });

    for (const wasSuspended of [false, true]) {
        test(`${kind}: a holder that is ${wasSuspended ? "suspended" : "paused"} past its lease gives no order when it wakes`, async () => {
            const fleet = new Fleet(checksFencing);
            const [first, second] = fleet.vms as [typeof fleet.vms[0], typeof fleet.vms[0]];
            await fleet.run(4500);
            const before = fleet.engines.obeyed.length;
            expect(before).toBeGreaterThan(0);
            first.process.pause();
            fleet.candidate = 1;
            await fleet.run(30_000);
            await first.process.resume(false, wasSuspended);
            await fleet.run(30_000);
            fleet.expectUpgraded();
            fleet.expectSafe();
            expect(first.task.heldFencingNumber).toEqual(undefined);
            expect(second.task.heldFencingNumber).not.toEqual(undefined);
        });
    }

    test(`${kind}: an order of the former holder that arrives late undoes nothing`, async () => {
        const fleet = new Fleet(checksFencing);
        const first = fleet.vms[0]!;
        await fleet.run(1500);
        first.client.orderDelayMs = 4900;
        await fleet.run(3000);
        first.process.crash();
        fleet.candidate = 1;
        await fleet.run(60_000);
        fleet.expectUpgraded();
        fleet.expectSafe();
    });
}

test("while the log is down the holder stops at its deadline, and goes on when the log is back", async () => {
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

test("an acquisition whose answer is lost, and one that lands late, leave one holder at a time", async () => {
    const fleet = new Fleet(true);
    fleet.log.clients[0]!.appendFaults.push({ kind: "lose-answer" }, { kind: "late", afterMs: 20_000 });
    await fleet.run(15_000);
    fleet.candidate = 1;
    await fleet.run(60_000);
    fleet.expectUpgraded();
    fleet.expectSafe();
    expect(fleet.vms.map(vm => vm.task.heldFencingNumber !== undefined)).toEqual([false, true]);
});

test("planted: a holder that ignores its lease's end is caught at engines that ignore fencing", async () => {
    const fleet = new Fleet(false);
    const [first] = fleet.vms as [typeof fleet.vms[0]];
    const keeper = (first.task as unknown as { keeper: { tenure: unknown; held(): unknown; }; }).keeper;
    let last: unknown;
    keeper.held = () => last = keeper.tenure ?? last;
    await fleet.run(4500);
    first.process.pause();
    fleet.candidate = 1;
    await fleet.run(20_000);
    await first.process.resume(false, false);
    await fleet.run(30_000);
    const numbers = fleet.engines.obeyed.map(({ order }) => order.fencingNumber);
    expect(numbers).not.toEqual([...numbers].sort((left, right) => left - right));
});
