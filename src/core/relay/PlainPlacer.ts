import type { RelayUpstream } from "../../schema/relay/RelayUpstream.js";
import type { Placement } from "./Placement.js";
import type { PlacementRequest } from "./PlacementRequest.js";
import type { UpstreamLoadTracker } from "./UpstreamLoadTracker.js";

/** Added to the load of an upstream in another availability zone, in calls: enough to break ties only. */
const otherZoneCalls = 0.3;

/**
 * Places calls of plain services, whose upstreams run a few calls at a time. It answers loads near their slots, where a call behind
 * another one costs a whole service time: the upstream with the least share of its slots taken by all VMs gets the call.
 */
export class PlainPlacer {
    constructor(
        private readonly board: UpstreamLoadTracker,
        private readonly availabilityZone: string,
        private readonly random: () => number,
    ) {}

    place(request: PlacementRequest): Placement | undefined {
        let best: RelayUpstream | undefined;
        let bestCost = Infinity;
        for (const upstream of request.candidates) {
            const cost = this.cost(upstream);
            if (cost < bestCost) {
                best = upstream;
                bestCost = cost;
            }
        }
        const reason = request.candidates.length === 1 ? "only-one" : "least-loaded";
        return best && { upstream: best, readMs: 0, waitMs: 0, dueMs: undefined, delay: 0, reason };
    }

    /** Share of the slots taken. A fraction of a call of chance keeps VMs with the same view apart. */
    private cost(upstream: RelayUpstream): number {
        const distance = upstream.availabilityZone === this.availabilityZone ? 0 : otherZoneCalls;
        return (this.board.callsInFlight(upstream.id) + distance + this.random() * 0.2) / upstream.slots;
    }
}
