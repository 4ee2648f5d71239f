import type { ModelPlacement } from "../../schema/config/ModelPlacement.js";
import { assignEngines } from "./assignEngines.js";
import type { EngineView } from "./EngineView.js";
import { formatPlacementKey } from "./formatPlacementKey.js";
import type { PlannedOrder } from "./PlannedOrder.js";

interface PlanInputs {
    readonly placements: readonly ModelPlacement[];
    /** Model names that the pool serves. The last ready engine of one is never taken. */
    readonly services: readonly string[];
    readonly engines: readonly EngineView[];
    /** Most models loading at once over all zones, for the weight store's rate. */
    readonly maxConcurrentLoads: number;
}

/**
 * The next orders that bring a pool's engines nearer to what is wanted, at most one an engine. A new version is loaded beside the old one,
 * which is unloaded once the new one is ready. Calling it again on the same state gives the same orders.
 */
export function planOrders(inputs: PlanInputs): PlannedOrder[] {
    const assigned = assignEngines(inputs.placements, inputs.engines);
    const free = inputs.engines.filter(engine => engine.hasRecentReport && !engine.isLeaving && !engine.hasPendingOrder);
    const taken = new Set<string>();
    return [
        ...planLoads(inputs, free, assigned),
        ...planRemovals(inputs, free, assigned, taken),
    ];
}

/** Loads, within the weight store's rate; zones take turns, the one with fewest loads under way first. */
function planLoads(inputs: PlanInputs, free: readonly EngineView[], assigned: ReadonlyMap<string, ModelPlacement>): PlannedOrder[] {
    const loading = new Map<string, number>();
    let total = 0;
    for (const engine of inputs.engines) {
        const count = loadingCount(engine);
        loading.set(engine.availabilityZone, (loading.get(engine.availabilityZone) ?? 0) + count);
        total += count;
    }
    const orders: PlannedOrder[] = [];
    const waiting = free.filter(engine => needsLoad(engine, assigned.get(engine.id)));
    while (total < inputs.maxConcurrentLoads && waiting.length > 0) {
        waiting.sort((left, right) =>
            (loading.get(left.availabilityZone) ?? 0) - (loading.get(right.availabilityZone) ?? 0) || (left.id < right.id ? -1 : 1)
        );
        const engine = waiting.shift() as EngineView;
        const placement = assigned.get(engine.id) as ModelPlacement;
        orders.push(newOrder(engine, "load", placement, placement.role));
        loading.set(engine.availabilityZone, (loading.get(engine.availabilityZone) ?? 0) + 1);
        total++;
    }
    return orders;
}

function loadingCount(engine: EngineView): number {
    const reported = engine.report?.models.filter(model => model.state === "loading").length ?? 0;
    return Math.max(reported, engine.hasPendingOrder ? 1 : 0);
}

function needsLoad(engine: EngineView, placement: ModelPlacement | undefined): boolean {
    if (placement === undefined || engine.failedLoads.has(formatPlacementKey(placement))) {
        return false;
    }
    const held = engine.report?.models.find(model => formatPlacementKey(model) === formatPlacementKey(placement));
    return held === undefined || held.state === "failed";
}

/** Role changes and unloads, one engine of a service at a time while another is ready. */
function planRemovals(
    inputs: PlanInputs,
    free: readonly EngineView[],
    assigned: ReadonlyMap<string, ModelPlacement>,
    taken: Set<string>,
): PlannedOrder[] {
    const orders: PlannedOrder[] = [];
    for (const engine of free) {
        const order = planRemoval(inputs, engine, assigned.get(engine.id), taken);
        if (order !== undefined) {
            orders.push(order);
            taken.add(engine.id);
        }
    }
    return orders;
}

function planRemoval(
    inputs: PlanInputs,
    engine: EngineView,
    placement: ModelPlacement | undefined,
    taken: ReadonlySet<string>,
): PlannedOrder | undefined {
    const models = engine.report?.models ?? [];
    if (placement !== undefined) {
        const held = models.find(model => formatPlacementKey(model) === formatPlacementKey(placement));
        if (held?.state !== "ready") {
            return undefined;
        }
        if (engine.report?.role !== placement.role && hasOtherReady(inputs, engine, placement.model, taken)) {
            return newOrder(engine, "role", placement, placement.role);
        }
    }
    const surplus = models.find(model =>
        (placement === undefined || formatPlacementKey(model) !== formatPlacementKey(placement))
        && (model.state === "failed" || (model.state === "ready" && mayTake(inputs, engine, model.model, placement, taken)))
    );
    return surplus === undefined ? undefined : newOrder(engine, "unload", surplus, engine.report?.role ?? "both");
}

/** Whether unloading a model here leaves its service with a ready engine, this one included when it has the model in another version. */
function mayTake(
    inputs: PlanInputs,
    engine: EngineView,
    model: string,
    placement: ModelPlacement | undefined,
    taken: ReadonlySet<string>,
): boolean {
    if (!inputs.services.includes(model) || placement?.model === model) {
        return true;
    }
    return hasOtherReady(inputs, engine, model, taken);
}

function hasOtherReady(inputs: PlanInputs, engine: EngineView, model: string, taken: ReadonlySet<string>): boolean {
    return inputs.engines.some(other =>
        other.id !== engine.id && other.hasRecentReport && !other.isLeaving && !other.hasPendingOrder && !taken.has(other.id)
        && other.report?.models.some(held => held.model === model && held.state === "ready")
    );
}

function newOrder(
    engine: EngineView,
    action: "load" | "unload" | "role",
    subject: { readonly model: string; readonly version: string; readonly adapter?: string | undefined; },
    role: ModelPlacement["role"],
): PlannedOrder {
    const { model, version, adapter } = subject;
    return { engineId: engine.id, order: { action, model, version, ...(adapter === undefined ? {} : { adapter }), role } };
}
