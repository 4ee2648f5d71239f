import { IndexedHeap } from "./IndexedHeap.js";
import type { QueuedTicket } from "./QueuedTicket.js";

/** On-time tickets granted for each late one, so that a steady flow of on-time tickets does not starve late ones. */
const onTimeGrantsPerLateGrant = 8;

/** Waiting tickets of one service class, all short or all long: on-time ones ordered by slack or arrival, late ones by arrival. */
export class TicketLane {
    /** Sum of the predicted slot times of all tickets in the lane. */
    serviceMs = 0;
    /** Result of the last call of `head`. */
    currentHead: QueuedTicket | undefined;
    /** Head that no engine could accept at the last attempt. Only engines that have changed since need to be tried again. */
    blockedHead: QueuedTicket | undefined;
    /** Same as `blockedHead`, for an attempt under the guaranteed floor of the class. */
    blockedFloorHead: QueuedTicket | undefined;
    private readonly onTimeHeap: IndexedHeap<QueuedTicket>;
    private readonly lateHeap: IndexedHeap<QueuedTicket>;
    private onTimeGrantsSinceLateGrant = 0;

    constructor(readonly serviceClass: string, readonly tier: number, readonly isLong: boolean, order: "slack" | "arrival") {
        this.onTimeHeap = new IndexedHeap<QueuedTicket>(
            order === "slack" ? hasEarlierLatestStart : hasArrivedEarlier,
            getPosition,
            setPosition,
        );
        this.lateHeap = new IndexedHeap<QueuedTicket>(hasArrivedEarlier, getPosition, setPosition);
    }

    get size(): number {
        return this.onTimeHeap.size + this.lateHeap.size;
    }

    push(queuedTicket: QueuedTicket): void {
        this.serviceMs += queuedTicket.serviceMs;
        this.getHeap(queuedTicket).push(queuedTicket);
    }

    remove(queuedTicket: QueuedTicket): void {
        this.getHeap(queuedTicket).remove(queuedTicket);
        this.serviceMs = this.size === 0 ? 0 : this.serviceMs - queuedTicket.serviceMs;
    }

    /** Returns the ticket to serve next. */
    head(nowMs: number): QueuedTicket | undefined {
        this.moveLateTickets(nowMs);
        const lateHead = this.lateHeap.peek();
        const isLateTurn = lateHead !== undefined && this.onTimeGrantsSinceLateGrant >= onTimeGrantsPerLateGrant;
        this.currentHead = isLateTurn ? lateHead : this.onTimeHeap.peek() ?? lateHead;
        return this.currentHead;
    }

    /** Removes the ticket that `head` returned, after its grant. */
    removeGranted(queuedTicket: QueuedTicket): void {
        this.onTimeGrantsSinceLateGrant = queuedTicket.isLate ? 0 : this.onTimeGrantsSinceLateGrant + 1;
        this.remove(queuedTicket);
    }

    /** Returns a ticket near the end of the order for load shedding. */
    findShedCandidate(): QueuedTicket | undefined {
        return this.lateHeap.lastLeaf() ?? this.onTimeHeap.lastLeaf();
    }

    /**
     * Moves tickets whose latest start has passed to the late heap. A latest start never changes, so each ticket moves at most once:
     * amortized O(log n).
     */
    private moveLateTickets(nowMs: number): void {
        for (let head = this.onTimeHeap.peek(); head !== undefined && head.latestStartAtMs < nowMs; head = this.onTimeHeap.peek()) {
            this.onTimeHeap.remove(head);
            head.isLate = true;
            this.lateHeap.push(head);
        }
    }

    private getHeap(queuedTicket: QueuedTicket): IndexedHeap<QueuedTicket> {
        return queuedTicket.isLate ? this.lateHeap : this.onTimeHeap;
    }
}

function hasEarlierLatestStart(left: QueuedTicket, right: QueuedTicket): boolean {
    return left.latestStartAtMs < right.latestStartAtMs ||
        (left.latestStartAtMs === right.latestStartAtMs && left.sequence < right.sequence);
}

function hasArrivedEarlier(left: QueuedTicket, right: QueuedTicket): boolean {
    return left.sequence < right.sequence;
}

function getPosition(queuedTicket: QueuedTicket): number {
    return queuedTicket.orderPosition;
}

function setPosition(queuedTicket: QueuedTicket, position: number): void {
    queuedTicket.orderPosition = position;
}
