import type { ModelPlacement } from "../../schema/config/ModelPlacement.js";
import { fnv1a } from "../util/fnv1a.js";
import { mixHash } from "../util/mixHash.js";
import type { EngineView } from "./EngineView.js";
import { formatPlacementKey } from "./formatPlacementKey.js";

/**
 * Assigns engines to each placement; the result is keyed by engine id. Engines that already hold a placement keep it, to avoid needless
 * model loads. Missing replicas go to unassigned engines, preferably in the availability zone with the fewest replicas of the placement.
 */
export function assignEngines(placements: readonly ModelPlacement[], engines: readonly EngineView[]): Map<string, ModelPlacement> {
    const assigned = new Map<string, ModelPlacement>();
    const usable = engines.filter(engine => !engine.isLeaving && engine.report !== undefined);
    for (const placement of placements) {
        const holders = usable
            .filter(engine => !assigned.has(engine.id) && computeRetentionRank(engine, placement) > 0)
            .sort((left, right) =>
                computeRetentionRank(right, placement) - computeRetentionRank(left, placement) || compareIds(left, right)
            );
        for (const engine of holders.slice(0, placement.replicas)) {
            assigned.set(engine.id, placement);
        }
    }
    for (const placement of placements) {
        assignMissingReplicas(placement, usable, assigned);
    }
    return assigned;
}

function assignMissingReplicas(placement: ModelPlacement, usable: readonly EngineView[], assigned: Map<string, ModelPlacement>): void {
    const holders = usable.filter(engine => assigned.get(engine.id) === placement);
    while (holders.length < placement.replicas) {
        const countInZone = (engine: EngineView) => holders.filter(holder => holder.availabilityZone === engine.availabilityZone).length;
        const next = usable
            .filter(engine =>
                engine.hasRecentReport && !assigned.has(engine.id) && !engine.failedPlacementKeys.has(formatPlacementKey(placement))
            )
            .sort((left, right) =>
                countInZone(left) - countInZone(right) || countModels(left) - countModels(right)
                || hashPlacement(placement, left) - hashPlacement(placement, right) || compareIds(left, right)
            )[0];
        if (next === undefined) {
            return;
        }
        assigned.set(next.id, placement);
        holders.push(next);
    }
}

/** Preference for keeping the placement on the engine: 3 ready in its role, 2 ready in another role, 1 loading, 0 not held. */
function computeRetentionRank(engine: EngineView, placement: ModelPlacement): number {
    const model = engine.report?.models.find(held => formatPlacementKey(held) === formatPlacementKey(placement));
    if (model?.state === "ready") {
        return engine.report?.role === placement.role ? 3 : 2;
    }
    return model?.state === "loading" ? 1 : 0;
}

function countModels(engine: EngineView): number {
    return engine.report?.models.length ?? 0;
}

function hashPlacement(placement: ModelPlacement, engine: EngineView): number {
    return mixHash(fnv1a(engine.id, fnv1a(formatPlacementKey(placement))));
}

function compareIds(left: EngineView, right: EngineView): number {
    return left.id < right.id ? -1 : 1;
}
