import { IndexedHeap } from "./IndexedHeap.js";
import type { QueuedTicket } from "./QueuedTicket.js";

/** Among this many picks, one goes to a late ticket, so that late tickets move while on-time ones keep coming. */
const picksPerLatePick = 8;

/** Waiting tickets of one class whose work is all short or all long: on-time ones by slack, late ones by arrival. */
export class TicketLane {
    /** Predicted slot time of all that waits here. */
    serviceMs = 0;
    /** The ticket to serve next, as of the last `head`. */
    currentHead: QueuedTicket | undefined;
    /** A head that no engine could take at the last look; only an engine that has changed since is worth another. */
    blockedHead: QueuedTicket | undefined;
    /** The same for a head that was looked at under its class's floor. */
    blockedFloorHead: QueuedTicket | undefined;
    private readonly onTime: IndexedHeap<QueuedTicket>;
    private readonly late: IndexedHeap<QueuedTicket>;
    private picksSinceLate = 0;

    constructor(readonly serviceClass: string, readonly tier: number, readonly isLong: boolean, order: "slack" | "arrival") {
        this.onTime = new IndexedHeap<QueuedTicket>(order === "slack" ? startsEarlier : arrivedEarlier, getPosition, setPosition);
        this.late = new IndexedHeap<QueuedTicket>(arrivedEarlier, getPosition, setPosition);
    }

    get size(): number {
        return this.onTime.size + this.late.size;
    }

    push(waiting: QueuedTicket): void {
        this.serviceMs += waiting.serviceMs;
        this.heapOf(waiting).push(waiting);
    }

    remove(waiting: QueuedTicket): void {
        this.heapOf(waiting).remove(waiting);
        this.serviceMs = this.size === 0 ? 0 : this.serviceMs - waiting.serviceMs;
    }

    /** The ticket to serve next. */
    head(nowMs: number): QueuedTicket | undefined {
        this.moveLate(nowMs);
        const lateHead = this.late.peek();
        const isLateTurn = lateHead !== undefined && this.picksSinceLate >= picksPerLatePick;
        this.currentHead = isLateTurn ? lateHead : this.onTime.peek() ?? lateHead;
        return this.currentHead;
    }

    /** Takes the ticket that `head` gave. */
    removeGranted(waiting: QueuedTicket): void {
        this.picksSinceLate = waiting.isLate ? 0 : this.picksSinceLate + 1;
        this.remove(waiting);
    }

    /** A ticket that would be served late, for shedding. */
    findShedCandidate(): QueuedTicket | undefined {
        return this.late.lastLeaf() ?? this.onTime.lastLeaf();
    }

    /** A latest start never moves, so each ticket crosses over once: amortized O(log n). */
    private moveLate(nowMs: number): void {
        for (let head = this.onTime.peek(); head !== undefined && head.latestStartAtMs < nowMs; head = this.onTime.peek()) {
            this.onTime.remove(head);
            head.isLate = true;
            this.late.push(head);
        }
    }

    private heapOf(waiting: QueuedTicket): IndexedHeap<QueuedTicket> {
        return waiting.isLate ? this.late : this.onTime;
    }
}

function startsEarlier(left: QueuedTicket, right: QueuedTicket): boolean {
    return left.latestStartAtMs < right.latestStartAtMs ||
        (left.latestStartAtMs === right.latestStartAtMs && left.sequence < right.sequence);
}

function arrivedEarlier(left: QueuedTicket, right: QueuedTicket): boolean {
    return left.sequence < right.sequence;
}

function getPosition(waiting: QueuedTicket): number {
    return waiting.orderPosition;
}

function setPosition(waiting: QueuedTicket, position: number): void {
    waiting.orderPosition = position;
}
