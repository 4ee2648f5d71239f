import { IndexedHeap } from "./IndexedHeap.js";
import { TicketLane } from "./TicketLane.js";
import type { WaitingTicket } from "./WaitingTicket.js";

/** All waiting tickets of a shard, by tier and class. Every operation is O(log n) in the tickets waiting. */
export class TicketQueue {
    private readonly byRequest = new Map<string, WaitingTicket>();
    private readonly lanesByTier: TicketLane[][] = [];
    private readonly expiry = new IndexedHeap<WaitingTicket>(
        (left, right) => left.expiresMs < right.expiresMs,
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

    get(requestId: string): WaitingTicket | undefined {
        return this.byRequest.get(requestId);
    }

    all(): IterableIterator<WaitingTicket> {
        return this.byRequest.values();
    }

    add(waiting: WaitingTicket): void {
        this.byRequest.set(waiting.ticket.requestId, waiting);
        this.laneOf(waiting).push(waiting);
        this.expiry.push(waiting);
    }

    remove(waiting: WaitingTicket): void {
        this.forget(waiting);
        this.laneOf(waiting).remove(waiting);
    }

    /** Removes a ticket that is granted; counts as a pick of its lane. */
    take(waiting: WaitingTicket): void {
        this.forget(waiting);
        this.laneOf(waiting).take(waiting);
    }

    /** Lanes of one tier: two for each class seen, for short and for long work. */
    lanes(tier: number): readonly TicketLane[] {
        return this.lanesByTier[tier] ?? [];
    }

    waitingUpTo(tier: number): number {
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
    nextToExpire(): WaitingTicket | undefined {
        return this.expiry.peek();
    }

    /** A ticket of the lowest tier that has any waiting. */
    lowest(): WaitingTicket | undefined {
        for (let tier = this.tierCount - 1; tier >= 0; tier--) {
            for (const lane of this.lanes(tier)) {
                const tail = lane.tail();
                if (tail !== undefined) {
                    return tail;
                }
            }
        }
        return undefined;
    }

    private forget(waiting: WaitingTicket): void {
        this.byRequest.delete(waiting.ticket.requestId);
        this.expiry.remove(waiting);
    }

    private laneOf({ ticket, isLong }: WaitingTicket): TicketLane {
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
