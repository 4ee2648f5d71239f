import type { EngineView } from "../../core/orders/EngineView.js";
import { formatPlacementKey } from "../../core/orders/formatPlacementKey.js";
import type { PlannedOrder } from "../../core/orders/PlannedOrder.js";
import { planOrders } from "../../core/orders/planOrders.js";
import type { Scheduler } from "../../core/util/Scheduler.js";
import type { Pool } from "../../schema/config/Pool.js";
import type { Upstream } from "../../schema/config/Upstream.js";
import type { EngineReport } from "../../schema/orders/EngineReport.js";
import { createLogger } from "../logs/createLogger.js";
import type { ConfigService } from "../services/ConfigService.js";
import type { LogClient } from "../services/LogClient.js";
import { defaultLeaseSettings } from "./defaultLeaseSettings.js";
import type { EngineOrderClient } from "./EngineOrderClient.js";
import type { HeldLease } from "./HeldLease.js";
import { LeaseManager } from "./LeaseManager.js";
import type { LeaseSettings } from "./LeaseSettings.js";
import type { TrackedEngine } from "./TrackedEngine.js";

const log = createLogger("orders");

const roundMs = 1000;
/** A report older than this no longer counts as reached. */
const reportValidMs = 5000;
const loadRetryMs = 30_000;

interface OrderTaskOptions {
    readonly vm: string;
    readonly incarnation: string;
    readonly log: LogClient;
    readonly scheduler: Scheduler;
    readonly client: EngineOrderClient;
    readonly config: Pick<ConfigService, "view">;
    /** Whether this VM should give the orders: rendezvous over the members. */
    readonly isCandidate: () => boolean;
    /** Most models that the weight store can serve at once. */
    readonly maxLoading: () => number;
    /** Upstreams that are leaving by the platform's list. */
    readonly isLeaving: (upstreamId: string) => boolean;
    readonly uniqueId: () => string;
    readonly settings?: LeaseSettings;
}

/** Brings the engines of all pools to the wanted placements, as the one VM of the fleet that holds the lease. */
export class EngineOrderTask {
    private readonly keeper: LeaseManager;
    private readonly settings: LeaseSettings;
    private readonly memories = new Map<string, TrackedEngine>();
    private fencingNumber = -1;
    private isRunning = false;

    constructor(private readonly options: OrderTaskOptions) {
        this.settings = options.settings ?? defaultLeaseSettings;
        this.keeper = new LeaseManager({ ...options, duty: "orders", settings: this.settings });
    }

    /** Takes part until `signal` aborts. */
    start(signal: AbortSignal): void {
        this.keeper.start(signal);
        this.options.scheduler.every(roundMs, () => void this.round(signal), signal);
    }

    /** The fencing number while this VM gives the orders. */
    get heldFencingNumber(): number | undefined {
        return this.keeper.held()?.fencingNumber;
    }

    private async round(signal: AbortSignal): Promise<void> {
        const tenure = this.keeper.held();
        if (tenure === undefined || this.isRunning) {
            return;
        }
        this.isRunning = true;
        if (tenure.fencingNumber !== this.fencingNumber) {
            this.fencingNumber = tenure.fencingNumber;
            this.memories.clear();
        }
        const pools = [...this.options.config.view.pools.values()].filter(pool => pool.kind === "engine" && pool.placements.length > 0);
        const loadingElsewhere = new Map<string, number>();
        for (const pool of pools) {
            await this.reconcile(pool, loadingElsewhere, signal);
        }
        this.isRunning = false;
    }

    /** Reads the state of a pool's engines and sends the next orders. */
    private async reconcile(pool: Pool, loadingByPool: Map<string, number>, signal: AbortSignal): Promise<void> {
        await Promise.all(pool.upstreams.map(upstream => this.readState(upstream, signal)));
        const engines = pool.upstreams.map(upstream => this.viewOf(upstream));
        const loadingElsewhere = [...loadingByPool.values()].reduce((sum, count) => sum + count, 0);
        const maxLoading = Math.max(0, this.options.maxLoading() - loadingElsewhere);
        const planned = planOrders({ placements: pool.placements, services: pool.services, engines, maxConcurrentLoads: maxLoading });
        for (const order of planned) {
            await this.sendOrder(pool, order, signal);
        }
        loadingByPool.set(pool.name, this.loadingIn(pool));
    }

    private loadingIn(pool: Pool): number {
        return pool.upstreams.map(upstream => this.memoryOf(upstream.id))
            .filter(memory => memory.pending?.order.action === "load" || memory.report?.models.some(model => model.state === "loading"))
            .length;
    }

    private async readState(upstream: Upstream, signal: AbortSignal): Promise<void> {
        const askedMs = this.options.scheduler.nowMs();
        const answer = await this.options.client.readState(upstream, signal);
        if (answer.isErr()) {
            return;
        }
        const memory = this.memoryOf(upstream.id);
        memory.report = answer.value;
        memory.reportedMs = askedMs;
        this.noteFailures(memory, answer.value, askedMs);
        if (memory.pending !== undefined && this.isSettled(memory.pending, answer.value, askedMs)) {
            memory.pending = undefined;
        }
    }

    private noteFailures(memory: TrackedEngine, report: EngineReport, nowMs: number): void {
        for (const model of report.models) {
            const key = formatPlacementKey(model);
            if (model.state !== "failed") {
                memory.retryAtMs.delete(key);
            }
            else if (!memory.retryAtMs.has(key)) {
                memory.retryAtMs.set(key, nowMs + loadRetryMs);
            }
        }
    }

    /** The order's effect shows in a state read after it was sent, or it can no longer arrive. */
    private isSettled(pending: NonNullable<TrackedEngine["pending"]>, report: EngineReport, askedMs: number): boolean {
        if (askedMs < pending.sentMs) {
            return false;
        }
        const { order } = pending;
        const held = report.models.find(model => formatPlacementKey(model) === formatPlacementKey(order));
        const isDone = order.action === "role" ? report.role === order.role : (held !== undefined) === (order.action === "load");
        return isDone || askedMs - pending.sentMs > this.settings.maxOrderDelayMs;
    }

    private viewOf(upstream: Upstream): EngineView {
        const nowMs = this.options.scheduler.nowMs();
        const memory = this.memoryOf(upstream.id);
        return {
            id: upstream.id,
            availabilityZone: upstream.availabilityZone,
            isLeaving: upstream.leaving || this.options.isLeaving(upstream.id),
            report: memory.report,
            hasRecentReport: nowMs - memory.reportedMs < reportValidMs,
            hasPendingOrder: memory.pending !== undefined,
            failedLoads: new Set([...memory.retryAtMs].filter(([, retryAtMs]) => retryAtMs > nowMs).map(([key]) => key)),
        };
    }

    private async sendOrder(pool: Pool, planned: PlannedOrder, signal: AbortSignal): Promise<void> {
        const upstream = pool.upstreams.find(candidate => candidate.id === planned.engineId);
        const tenure = this.keeper.held();
        if (upstream === undefined || tenure === undefined || !this.maySend(pool, tenure)) {
            return;
        }
        const memory = this.memoryOf(upstream.id);
        memory.pending = { order: planned.order, sentMs: this.options.scheduler.nowMs() };
        const order = { ...planned.order, fencingNumber: tenure.fencingNumber, orderId: this.options.uniqueId() };
        const answer = await this.options.client.send(upstream, order, signal);
        log("order sent", {
            engine: upstream.id,
            action: order.action,
            model: order.model,
            result: answer.isOk() ? "ok" : answer.error.kind,
        });
        if (answer.isErr() && answer.error.kind === "stale") {
            this.keeper.invalidate();
        }
        if (answer.isErr() && answer.error.kind === "refused" && order.action === "load") {
            memory.retryAtMs.set(formatPlacementKey(order), this.options.scheduler.nowMs() + loadRetryMs);
        }
    }

    private maySend(pool: Pool, tenure: HeldLease): boolean {
        return pool.checksFencing || this.options.scheduler.nowMs() >= tenure.unfencedOrdersFromMs;
    }

    private memoryOf(engineId: string): TrackedEngine {
        let memory = this.memories.get(engineId);
        if (memory === undefined) {
            memory = { report: undefined, reportedMs: -Infinity, pending: undefined, retryAtMs: new Map() };
            this.memories.set(engineId, memory);
        }
        return memory;
    }
}
