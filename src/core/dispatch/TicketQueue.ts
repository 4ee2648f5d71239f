import { IndexedHeap } from "./IndexedHeap.js";
import type { QueuedTicket } from "./QueuedTicket.js";
import { TicketLane } from "./TicketLane.js";

/** All waiting tickets of a shard, by tier and class. Every operation is O(log n) in the tickets waiting. */
export class TicketQueue {
    private readonly byRequest = new Map<string, QueuedTicket>();
    private readonly lanesByTier: TicketLane[][] = [];
    private readonly expiry = new IndexedHeap<QueuedTicket>(
        (left, right) => left.expiresAtMs < right.expiresAtMs,
        waiting => waiting.expiryPosition,
        (waiting, position) => {
            waiting.expiryPosition = position;
        },
    );

    constructor(private readonly order: "slack" | "arrival") {}

    get size(): number {
        return this.byRequest.size;
    }

    get tierCount(): number {
        return this.lanesByTier.length;
    }

    get(requestId: string): QueuedTicket | undefined {
        return this.byRequest.get(requestId);
    }

    all(): IterableIterator<QueuedTicket> {
        return this.byRequest.values();
    }

    add(waiting: QueuedTicket): void {
        this.byRequest.set(waiting.ticket.requestId, waiting);
        this.laneOf(waiting).push(waiting);
        this.expiry.push(waiting);
    }

    remove(waiting: QueuedTicket): void {
        this.forget(waiting);
        this.laneOf(waiting).remove(waiting);
    }

    /** Removes a ticket that is granted; counts as a pick of its lane. */
    removeGranted(waiting: QueuedTicket): void {
        this.forget(waiting);
        this.laneOf(waiting).removeGranted(waiting);
    }

    /** Lanes of one tier: two for each class seen, for short and for long work. */
    lanes(tier: number): readonly TicketLane[] {
        return this.lanesByTier[tier] ?? [];
    }

    waitingCountUpTo(tier: number): number {
        let waiting = 0;
        for (let above = 0; above <= tier; above++) {
            for (const lane of this.lanes(above)) {
                waiting += lane.size;
            }
        }
        return waiting;
    }

    /** Predicted slot time of what waits in this tier and above. */
    serviceMsUpTo(tier: number): number {
        let serviceMs = 0;
        for (let above = 0; above <= tier; above++) {
            for (const lane of this.lanes(above)) {
                serviceMs += lane.serviceMs;
            }
        }
        return serviceMs;
    }

    /** The ticket that reaches its bound first. */
    nextToExpire(): QueuedTicket | undefined {
        return this.expiry.peek();
    }

    /** A ticket of the lowest tier that has any waiting. */
    findShedCandidate(): QueuedTicket | undefined {
        for (let tier = this.tierCount - 1; tier >= 0; tier--) {
            for (const lane of this.lanes(tier)) {
                const tail = lane.findShedCandidate();
                if (tail !== undefined) {
                    return tail;
                }
            }
        }
        return undefined;
    }

    private forget(waiting: QueuedTicket): void {
        this.byRequest.delete(waiting.ticket.requestId);
        this.expiry.remove(waiting);
    }

    private laneOf({ ticket, isLong }: QueuedTicket): TicketLane {
        while (this.lanesByTier.length <= ticket.tier) {
            this.lanesByTier.push([]);
        }
        const lanes = this.lanesByTier[ticket.tier] as TicketLane[];
        for (const lane of lanes) {
            if (lane.serviceClass === ticket.serviceClass && lane.isLong === isLong) {
                return lane;
            }
        }
        const lane = new TicketLane(ticket.serviceClass, ticket.tier, isLong, this.order);
        lanes.push(lane);
        return lane;
    }
}
