import type { RelayUpstream } from "../../schema/relay/RelayUpstream.js";
import type { Placement } from "./Placement.js";
import type { PlacementRequest } from "./PlacementRequest.js";
import type { UpstreamLoadTracker } from "./UpstreamLoadTracker.js";

/** Load penalty, in calls, of an upstream in another availability zone: small enough that it only breaks ties. */
const otherZonePenaltyCalls = 0.3;

/**
 * Places calls without a prompt, whose upstreams run only a few calls at a time. Near full load, a call queued behind another one waits
 * for a whole service time, so each call goes to the upstream with the smallest share of its slots in use, counted over all VMs.
 */
export class LeastLoadedPlacer {
    constructor(
        private readonly loadTracker: UpstreamLoadTracker,
        private readonly availabilityZone: string,
        private readonly random: () => number,
    ) {}

    place(request: PlacementRequest): Placement | undefined {
        let best: RelayUpstream | undefined;
        let bestCost = Infinity;
        for (const upstream of request.candidates) {
            const cost = this.computeCost(upstream);
            if (cost < bestCost) {
                best = upstream;
                bestCost = cost;
            }
        }
        const reason = request.candidates.length === 1 ? "only-one" : "least-loaded";
        return best && { upstream: best, readMs: 0, waitMs: 0, dueMs: undefined, delay: 0, reason };
    }

    /** Share of the slots in use. A random fraction of a call keeps VMs with the same load data from choosing the same upstream. */
    private computeCost(upstream: RelayUpstream): number {
        const zonePenaltyCalls = upstream.availabilityZone === this.availabilityZone ? 0 : otherZonePenaltyCalls;
        return (this.loadTracker.callsInFlight(upstream.id) + zonePenaltyCalls + this.random() * 0.2) / upstream.slots;
    }
}
