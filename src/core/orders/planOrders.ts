import type { ModelPlacement } from "../../schema/config/ModelPlacement.js";
import { assignEngines } from "./assignEngines.js";
import type { EngineView } from "./EngineView.js";
import { formatPlacementKey } from "./formatPlacementKey.js";
import type { PlannedOrder } from "./PlannedOrder.js";

interface PlanInputs {
    readonly placements: readonly ModelPlacement[];
    /** Model names that the pool serves. The planner never takes the last ready engine from a service. */
    readonly services: readonly string[];
    readonly engines: readonly EngineView[];
    /** Maximum number of concurrent loads over all availability zones, as the weight store allows. */
    readonly maxConcurrentLoads: number;
}

/**
 * Plans the next orders that move a pool's engines towards the wanted placements, at most one order per engine. A new version is loaded
 * alongside the old one, which is unloaded once the new one is ready. Deterministic: equal inputs give equal orders.
 */
export function planOrders(inputs: PlanInputs): PlannedOrder[] {
    const assigned = assignEngines(inputs.placements, inputs.engines);
    const availableEngines = inputs.engines.filter(engine => engine.hasRecentReport && !engine.isLeaving && !engine.hasPendingOrder);
    const changedEngineIds = new Set<string>();
    return [
        ...planLoads(inputs, availableEngines, assigned),
        ...planUnloadsAndRoleChanges(inputs, availableEngines, assigned, changedEngineIds),
    ];
}

/** Plans loads within the weight store's limit, each in the availability zone with the fewest concurrent loads. */
function planLoads(
    inputs: PlanInputs,
    availableEngines: readonly EngineView[],
    assigned: ReadonlyMap<string, ModelPlacement>,
): PlannedOrder[] {
    const loadingByZone = new Map<string, number>();
    let totalLoading = 0;
    for (const engine of inputs.engines) {
        const count = countLoads(engine);
        loadingByZone.set(engine.availabilityZone, (loadingByZone.get(engine.availabilityZone) ?? 0) + count);
        totalLoading += count;
    }
    const orders: PlannedOrder[] = [];
    const enginesToLoad = availableEngines.filter(engine => isLoadNeeded(engine, assigned.get(engine.id)));
    while (totalLoading < inputs.maxConcurrentLoads && enginesToLoad.length > 0) {
        enginesToLoad.sort((left, right) =>
            (loadingByZone.get(left.availabilityZone) ?? 0) - (loadingByZone.get(right.availabilityZone) ?? 0) ||
            (left.id < right.id ? -1 : 1)
        );
        const engine = enginesToLoad.shift() as EngineView;
        const placement = assigned.get(engine.id) as ModelPlacement;
        orders.push(createOrder(engine, "load", placement, placement.role));
        loadingByZone.set(engine.availabilityZone, (loadingByZone.get(engine.availabilityZone) ?? 0) + 1);
        totalLoading++;
    }
    return orders;
}

function countLoads(engine: EngineView): number {
    const reported = engine.report?.models.filter(model => model.state === "loading").length ?? 0;
    return Math.max(reported, engine.hasPendingOrder ? 1 : 0);
}

function isLoadNeeded(engine: EngineView, placement: ModelPlacement | undefined): boolean {
    if (placement === undefined || engine.failedPlacementKeys.has(formatPlacementKey(placement))) {
        return false;
    }
    const held = engine.report?.models.find(model => formatPlacementKey(model) === formatPlacementKey(placement));
    return held === undefined || held.state === "failed";
}

/** Plans unloads and role changes. An engine is taken from a service only if another ready one is left unchanged. */
function planUnloadsAndRoleChanges(
    inputs: PlanInputs,
    availableEngines: readonly EngineView[],
    assigned: ReadonlyMap<string, ModelPlacement>,
    changedEngineIds: Set<string>,
): PlannedOrder[] {
    const orders: PlannedOrder[] = [];
    for (const engine of availableEngines) {
        const order = planUnloadOrRoleChange(inputs, engine, assigned.get(engine.id), changedEngineIds);
        if (order !== undefined) {
            orders.push(order);
            changedEngineIds.add(engine.id);
        }
    }
    return orders;
}

function planUnloadOrRoleChange(
    inputs: PlanInputs,
    engine: EngineView,
    placement: ModelPlacement | undefined,
    changedEngineIds: ReadonlySet<string>,
): PlannedOrder | undefined {
    const models = engine.report?.models ?? [];
    if (placement !== undefined) {
        const held = models.find(model => formatPlacementKey(model) === formatPlacementKey(placement));
        if (held?.state !== "ready") {
            return undefined;
        }
        if (engine.report?.role !== placement.role && hasOtherReadyEngine(inputs, engine, placement.model, changedEngineIds)) {
            return createOrder(engine, "role", placement, placement.role);
        }
    }
    const surplusModel = models.find(model =>
        (placement === undefined || formatPlacementKey(model) !== formatPlacementKey(placement))
        && (model.state === "failed" || (model.state === "ready" && canUnload(inputs, engine, model.model, placement, changedEngineIds)))
    );
    return surplusModel === undefined ? undefined : createOrder(engine, "unload", surplusModel, engine.report?.role ?? "both");
}

/** Whether the service keeps a ready engine after the unload; this engine counts if its placement is another version of the model. */
function canUnload(
    inputs: PlanInputs,
    engine: EngineView,
    model: string,
    placement: ModelPlacement | undefined,
    changedEngineIds: ReadonlySet<string>,
): boolean {
    if (!inputs.services.includes(model) || placement?.model === model) {
        return true;
    }
    return hasOtherReadyEngine(inputs, engine, model, changedEngineIds);
}

function hasOtherReadyEngine(inputs: PlanInputs, engine: EngineView, model: string, changedEngineIds: ReadonlySet<string>): boolean {
    return inputs.engines.some(other =>
        other.id !== engine.id && other.hasRecentReport && !other.isLeaving && !other.hasPendingOrder && !changedEngineIds.has(other.id)
        && other.report?.models.some(held => held.model === model && held.state === "ready")
    );
}

function createOrder(
    engine: EngineView,
    action: "load" | "unload" | "role",
    subject: { readonly model: string; readonly version: string; readonly adapter?: string | undefined; },
    role: ModelPlacement["role"],
): PlannedOrder {
    const { model, version, adapter } = subject;
    return { engineId: engine.id, order: { action, model, version, ...(adapter === undefined ? {} : { adapter }), role } };
}
