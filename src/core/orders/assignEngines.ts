import type { ModelPlacement } from "../../schema/config/ModelPlacement.js";
import { fnv1a } from "../util/fnv1a.js";
import { mixHash } from "../util/mixHash.js";
import type { EngineView } from "./EngineView.js";
import { formatPlacementKey } from "./formatPlacementKey.js";

/**
 * Gives each placement its engines. Engines that have a placement keep it, so that nothing moves without need; a shortfall is filled from
 * engines without one, first in zones that have fewest.
 */
export function assignEngines(placements: readonly ModelPlacement[], engines: readonly EngineView[]): Map<string, ModelPlacement> {
    const assigned = new Map<string, ModelPlacement>();
    const usable = engines.filter(engine => !engine.isLeaving && engine.report !== undefined);
    for (const placement of placements) {
        const holders = usable
            .filter(engine => !assigned.has(engine.id) && holdingRank(engine, placement) > 0)
            .sort((left, right) => holdingRank(right, placement) - holdingRank(left, placement) || compareIds(left, right));
        for (const engine of holders.slice(0, placement.replicas)) {
            assigned.set(engine.id, placement);
        }
    }
    for (const placement of placements) {
        fill(placement, usable, assigned);
    }
    return assigned;
}

function fill(placement: ModelPlacement, usable: readonly EngineView[], assigned: Map<string, ModelPlacement>): void {
    const holders = usable.filter(engine => assigned.get(engine.id) === placement);
    while (holders.length < placement.replicas) {
        const inZone = (engine: EngineView) => holders.filter(holder => holder.availabilityZone === engine.availabilityZone).length;
        const next = usable
            .filter(engine => engine.hasRecentReport && !assigned.has(engine.id) && !engine.failedLoads.has(formatPlacementKey(placement)))
            .sort((left, right) =>
                inZone(left) - inZone(right) || modelCount(left) - modelCount(right)
                || rank(placement, left) - rank(placement, right) || compareIds(left, right)
            )[0];
        if (next === undefined) {
            return;
        }
        assigned.set(next.id, placement);
        holders.push(next);
    }
}

/** How much speaks for leaving the placement where it is: ready in its role, ready, loading. */
function holdingRank(engine: EngineView, placement: ModelPlacement): number {
    const model = engine.report?.models.find(held => formatPlacementKey(held) === formatPlacementKey(placement));
    if (model?.state === "ready") {
        return engine.report?.role === placement.role ? 3 : 2;
    }
    return model?.state === "loading" ? 1 : 0;
}

function modelCount(engine: EngineView): number {
    return engine.report?.models.length ?? 0;
}

function rank(placement: ModelPlacement, engine: EngineView): number {
    return mixHash(fnv1a(engine.id, fnv1a(formatPlacementKey(placement))));
}

function compareIds(left: EngineView, right: EngineView): number {
    return left.id < right.id ? -1 : 1;
}
