import { IndexedHeap } from "./IndexedHeap.js";
import type { QueuedTicket } from "./QueuedTicket.js";
import { TicketLane } from "./TicketLane.js";

/** Waiting tickets of a shard, grouped by tier and class. Adding and removing a ticket is O(log n) in the number of waiting tickets. */
export class TicketQueue {
    private readonly byRequestId = new Map<string, QueuedTicket>();
    private readonly lanesByTier: TicketLane[][] = [];
    private readonly expiryHeap = new IndexedHeap<QueuedTicket>(
        (left, right) => left.expiresAtMs < right.expiresAtMs,
        queuedTicket => queuedTicket.expiryPosition,
        (queuedTicket, position) => {
            queuedTicket.expiryPosition = position;
        },
    );

    constructor(private readonly order: "slack" | "arrival") {}

    get size(): number {
        return this.byRequestId.size;
    }

    get tierCount(): number {
        return this.lanesByTier.length;
    }

    get(requestId: string): QueuedTicket | undefined {
        return this.byRequestId.get(requestId);
    }

    all(): IterableIterator<QueuedTicket> {
        return this.byRequestId.values();
    }

    add(queuedTicket: QueuedTicket): void {
        this.byRequestId.set(queuedTicket.ticket.requestId, queuedTicket);
        this.getOrCreateLane(queuedTicket).push(queuedTicket);
        this.expiryHeap.push(queuedTicket);
    }

    remove(queuedTicket: QueuedTicket): void {
        this.removeFromIndexes(queuedTicket);
        this.getOrCreateLane(queuedTicket).remove(queuedTicket);
    }

    /** Removes a granted ticket. Its lane counts the grant to interleave late tickets with on-time ones. */
    removeGranted(queuedTicket: QueuedTicket): void {
        this.removeFromIndexes(queuedTicket);
        this.getOrCreateLane(queuedTicket).removeGranted(queuedTicket);
    }

    /** Lanes of one tier: one for the short and one for the long tickets of each class, created on first use. */
    lanes(tier: number): readonly TicketLane[] {
        return this.lanesByTier[tier] ?? [];
    }

    waitingCountUpTo(tier: number): number {
        let count = 0;
        for (let currentTier = 0; currentTier <= tier; currentTier++) {
            for (const lane of this.lanes(currentTier)) {
                count += lane.size;
            }
        }
        return count;
    }

    /** Sum of the predicted slot times of the tickets waiting in this tier and all higher ones. */
    serviceMsUpTo(tier: number): number {
        let serviceMs = 0;
        for (let currentTier = 0; currentTier <= tier; currentTier++) {
            for (const lane of this.lanes(currentTier)) {
                serviceMs += lane.serviceMs;
            }
        }
        return serviceMs;
    }

    /** Returns the ticket that expires first. */
    nextToExpire(): QueuedTicket | undefined {
        return this.expiryHeap.peek();
    }

    /** Returns a ticket of the lowest tier with waiting tickets. */
    findShedCandidate(): QueuedTicket | undefined {
        for (let tier = this.tierCount - 1; tier >= 0; tier--) {
            for (const lane of this.lanes(tier)) {
                const candidate = lane.findShedCandidate();
                if (candidate !== undefined) {
                    return candidate;
                }
            }
        }
        return undefined;
    }

    private removeFromIndexes(queuedTicket: QueuedTicket): void {
        this.byRequestId.delete(queuedTicket.ticket.requestId);
        this.expiryHeap.remove(queuedTicket);
    }

    private getOrCreateLane({ ticket, isLong }: QueuedTicket): TicketLane {
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
