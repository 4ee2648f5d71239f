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

const roundIntervalMs = 1000;
/** Reports older than this no longer count as recent. */
const maxReportAgeMs = 5000;
const loadRetryDelayMs = 30_000;

interface EngineOrderTaskOptions {
    readonly vm: string;
    readonly incarnation: string;
    readonly log: LogClient;
    readonly scheduler: Scheduler;
    readonly client: EngineOrderClient;
    readonly config: Pick<ConfigService, "view">;
    /** Whether this VM should hold the lease, chosen by rendezvous hashing over the members. */
    readonly isCandidate: () => boolean;
    /** Maximum number of concurrent model loads that the weight store allows. */
    readonly maxLoading: () => number;
    /** Whether the platform's list marks the upstream as leaving. */
    readonly isLeaving: (upstreamId: string) => boolean;
    readonly uniqueId: () => string;
    readonly settings?: LeaseSettings;
}

/** Reconciles the engines of all pools with the configured placements while this VM holds the lease of the `orders` duty. */
export class EngineOrderTask {
    private readonly leaseManager: LeaseManager;
    private readonly settings: LeaseSettings;
    private readonly trackedEngines = new Map<string, TrackedEngine>();
    private fencingNumber = -1;
    private isRunning = false;

    constructor(private readonly options: EngineOrderTaskOptions) {
        this.settings = options.settings ?? defaultLeaseSettings;
        this.leaseManager = new LeaseManager({ ...options, duty: "orders", settings: this.settings });
    }

    /** Competes for the lease and, while holding it, reconciles periodically until `signal` aborts. */
    start(signal: AbortSignal): void {
        this.leaseManager.start(signal);
        this.options.scheduler.every(roundIntervalMs, () => void this.runRound(signal), signal);
    }

    /** Fencing number of the lease; undefined while this VM does not hold it. */
    get heldFencingNumber(): number | undefined {
        return this.leaseManager.getHeldLease()?.fencingNumber;
    }

    private async runRound(signal: AbortSignal): Promise<void> {
        const lease = this.leaseManager.getHeldLease();
        if (lease === undefined || this.isRunning) {
            return;
        }
        this.isRunning = true;
        if (lease.fencingNumber !== this.fencingNumber) {
            this.fencingNumber = lease.fencingNumber;
            this.trackedEngines.clear();
        }
        const pools = [...this.options.config.view.pools.values()].filter(pool => pool.kind === "engine" && pool.placements.length > 0);
        const loadingByPool = new Map<string, number>();
        for (const pool of pools) {
            await this.reconcile(pool, loadingByPool, signal);
        }
        this.isRunning = false;
    }

    /** Reads the state of the pool's engines and sends the next orders. */
    private async reconcile(pool: Pool, loadingByPool: Map<string, number>, signal: AbortSignal): Promise<void> {
        await Promise.all(pool.upstreams.map(upstream => this.readState(upstream, signal)));
        const engines = pool.upstreams.map(upstream => this.createEngineView(upstream));
        const loadingInOtherPools = [...loadingByPool.values()].reduce((sum, count) => sum + count, 0);
        const maxLoading = Math.max(0, this.options.maxLoading() - loadingInOtherPools);
        const planned = planOrders({ placements: pool.placements, services: pool.services, engines, maxConcurrentLoads: maxLoading });
        for (const order of planned) {
            await this.sendOrder(pool, order, signal);
        }
        loadingByPool.set(pool.name, this.countLoadingEngines(pool));
    }

    private countLoadingEngines(pool: Pool): number {
        return pool.upstreams.map(upstream => this.getTrackedEngine(upstream.id))
            .filter(trackedEngine =>
                trackedEngine.pending?.order.action === "load" || trackedEngine.report?.models.some(model => model.state === "loading")
            )
            .length;
    }

    private async readState(upstream: Upstream, signal: AbortSignal): Promise<void> {
        const requestedMs = this.options.scheduler.nowMs();
        const result = await this.options.client.readState(upstream, signal);
        if (result.isErr()) {
            return;
        }
        const trackedEngine = this.getTrackedEngine(upstream.id);
        trackedEngine.report = result.value;
        trackedEngine.reportedMs = requestedMs;
        this.recordFailedLoads(trackedEngine, result.value, requestedMs);
        if (trackedEngine.pending !== undefined && this.isSettled(trackedEngine.pending, result.value, requestedMs)) {
            trackedEngine.pending = undefined;
        }
    }

    private recordFailedLoads(trackedEngine: TrackedEngine, report: EngineReport, nowMs: number): void {
        for (const model of report.models) {
            const key = formatPlacementKey(model);
            if (model.state !== "failed") {
                trackedEngine.retryAtMs.delete(key);
            }
            else if (!trackedEngine.retryAtMs.has(key)) {
                trackedEngine.retryAtMs.set(key, nowMs + loadRetryDelayMs);
            }
        }
    }

    /** Whether a state read after the order was sent shows its effect, or the order can no longer arrive. */
    private isSettled(pending: NonNullable<TrackedEngine["pending"]>, report: EngineReport, requestedMs: number): boolean {
        if (requestedMs < pending.sentMs) {
            return false;
        }
        const { order } = pending;
        const reportedModel = report.models.find(model => formatPlacementKey(model) === formatPlacementKey(order));
        const hasTakenEffect = order.action === "role"
            ? report.role === order.role
            : (reportedModel !== undefined) === (order.action === "load");
        return hasTakenEffect || requestedMs - pending.sentMs > this.settings.maxOrderDelayMs;
    }

    private createEngineView(upstream: Upstream): EngineView {
        const nowMs = this.options.scheduler.nowMs();
        const trackedEngine = this.getTrackedEngine(upstream.id);
        return {
            id: upstream.id,
            availabilityZone: upstream.availabilityZone,
            isLeaving: upstream.leaving || this.options.isLeaving(upstream.id),
            report: trackedEngine.report,
            hasRecentReport: nowMs - trackedEngine.reportedMs < maxReportAgeMs,
            hasPendingOrder: trackedEngine.pending !== undefined,
            failedPlacementKeys: new Set([...trackedEngine.retryAtMs].filter(([, retryAtMs]) => retryAtMs > nowMs).map(([key]) => key)),
        };
    }

    private async sendOrder(pool: Pool, planned: PlannedOrder, signal: AbortSignal): Promise<void> {
        const upstream = pool.upstreams.find(candidate => candidate.id === planned.engineId);
        const lease = this.leaseManager.getHeldLease();
        if (upstream === undefined || lease === undefined || !this.canSend(pool, lease)) {
            return;
        }
        const trackedEngine = this.getTrackedEngine(upstream.id);
        trackedEngine.pending = { order: planned.order, sentMs: this.options.scheduler.nowMs() };
        const order = { ...planned.order, fencingNumber: lease.fencingNumber, orderId: this.options.uniqueId() };
        const result = await this.options.client.send(upstream, order, signal);
        log("order sent", {
            engine: upstream.id,
            action: order.action,
            model: order.model,
            result: result.isOk() ? "ok" : result.error.kind,
        });
        if (result.isErr() && result.error.kind === "stale") {
            this.leaseManager.invalidate();
        }
        if (result.isErr() && result.error.kind === "refused" && order.action === "load") {
            trackedEngine.retryAtMs.set(formatPlacementKey(order), this.options.scheduler.nowMs() + loadRetryDelayMs);
        }
    }

    private canSend(pool: Pool, lease: HeldLease): boolean {
        return pool.checksFencing || this.options.scheduler.nowMs() >= lease.unfencedOrdersFromMs;
    }

    private getTrackedEngine(engineId: string): TrackedEngine {
        let trackedEngine = this.trackedEngines.get(engineId);
        if (trackedEngine === undefined) {
            trackedEngine = { report: undefined, reportedMs: -Infinity, pending: undefined, retryAtMs: new Map() };
            this.trackedEngines.set(engineId, trackedEngine);
        }
        return trackedEngine;
    }
}
