import { IndexedHeap } from "./IndexedHeap.js";
import type { WaitingTicket } from "./WaitingTicket.js";

/** Among this many picks, one goes to a late ticket, so that late tickets move while on-time ones keep coming. */
const picksPerLatePick = 8;

/** Waiting tickets of one class whose work is all short or all long: on-time ones by slack, late ones by arrival. */
export class TicketLane {
    /** Predicted slot time of all that waits here. */
    serviceMs = 0;
    /** The ticket to serve next, as of the last `head`. */
    next: WaitingTicket | undefined;
    /** A head that no engine could take at the last look; only an engine that has changed since is worth another. */
    stuckHead: WaitingTicket | undefined;
    /** The same for a head that was looked at under its class's floor. */
    stuckFloorHead: WaitingTicket | undefined;
    private readonly onTime: IndexedHeap<WaitingTicket>;
    private readonly late: IndexedHeap<WaitingTicket>;
    private picksSinceLate = 0;

    constructor(readonly serviceClass: string, readonly tier: number, readonly isLong: boolean, order: "slack" | "arrival") {
        this.onTime = new IndexedHeap<WaitingTicket>(order === "slack" ? startsEarlier : arrivedEarlier, getPosition, setPosition);
        this.late = new IndexedHeap<WaitingTicket>(arrivedEarlier, getPosition, setPosition);
    }

    get size(): number {
        return this.onTime.size + this.late.size;
    }

    push(waiting: WaitingTicket): void {
        this.serviceMs += waiting.serviceMs;
        this.heapOf(waiting).push(waiting);
    }

    remove(waiting: WaitingTicket): void {
        this.heapOf(waiting).remove(waiting);
        this.serviceMs = this.size === 0 ? 0 : this.serviceMs - waiting.serviceMs;
    }

    /** The ticket to serve next. */
    head(nowMs: number): WaitingTicket | undefined {
        this.moveLate(nowMs);
        const lateHead = this.late.peek();
        const isLateTurn = lateHead !== undefined && this.picksSinceLate >= picksPerLatePick;
        this.next = isLateTurn ? lateHead : this.onTime.peek() ?? lateHead;
        return this.next;
    }

    /** Takes the ticket that `head` gave. */
    take(waiting: WaitingTicket): void {
        this.picksSinceLate = waiting.isLate ? 0 : this.picksSinceLate + 1;
        this.remove(waiting);
    }

    /** A ticket that would be served late, for shedding. */
    tail(): WaitingTicket | undefined {
        return this.late.lastLeaf() ?? this.onTime.lastLeaf();
    }

    /** A latest start never moves, so each ticket crosses over once: amortized O(log n). */
    private moveLate(nowMs: number): void {
        for (let head = this.onTime.peek(); head !== undefined && head.latestStartMs < nowMs; head = this.onTime.peek()) {
            this.onTime.remove(head);
            head.isLate = true;
            this.late.push(head);
        }
    }

    private heapOf(waiting: WaitingTicket): IndexedHeap<WaitingTicket> {
        return waiting.isLate ? this.late : this.onTime;
    }
}

function startsEarlier(left: WaitingTicket, right: WaitingTicket): boolean {
    return left.latestStartMs < right.latestStartMs || (left.latestStartMs === right.latestStartMs && left.sequence < right.sequence);
}

function arrivedEarlier(left: WaitingTicket, right: WaitingTicket): boolean {
    return left.sequence < right.sequence;
}

function getPosition(waiting: WaitingTicket): number {
    return waiting.orderPosition;
}

function setPosition(waiting: WaitingTicket, position: number): void {
    waiting.orderPosition = position;
}
