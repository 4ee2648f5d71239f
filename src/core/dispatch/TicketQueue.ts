import { IndexedHeap } from "./IndexedHeap.js";
import { TicketLane } from "./TicketLane.js";
import type { WaitingTicket } from "./WaitingTicket.js";

interface TierLanes {
    readonly short: TicketLane;
    readonly long: TicketLane;
    /** Predicted slot time of all that waits here. */
    serviceMs: number;
}

/** All waiting tickets of a shard, by tier. Every operation is O(log n) in the tickets waiting. */
export class TicketQueue {
    private readonly byRequest = new Map<string, WaitingTicket>();
    private readonly tiers: TierLanes[] = [];
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
        return this.tiers.length;
    }

    get(requestId: string): WaitingTicket | undefined {
        return this.byRequest.get(requestId);
    }

    all(): IterableIterator<WaitingTicket> {
        return this.byRequest.values();
    }

    add(waiting: WaitingTicket): void {
        this.byRequest.set(waiting.ticket.requestId, waiting);
        const lanes = this.lanesOf(waiting.ticket.tier);
        lanes.serviceMs += waiting.serviceMs;
        laneOf(lanes, waiting).push(waiting);
        this.expiry.push(waiting);
    }

    remove(waiting: WaitingTicket): void {
        this.forget(waiting);
        laneOf(this.lanesOf(waiting.ticket.tier), waiting).remove(waiting);
    }

    /** Removes a ticket that is granted; counts as a pick of its lane. */
    take(waiting: WaitingTicket): void {
        this.forget(waiting);
        laneOf(this.lanesOf(waiting.ticket.tier), waiting).take(waiting);
    }

    /** Next ticket of a tier whose work is short or long. */
    head(tier: number, isLong: boolean, nowMs: number): WaitingTicket | undefined {
        const lanes = this.tiers[tier];
        return lanes === undefined ? undefined : (isLong ? lanes.long : lanes.short).head(nowMs);
    }

    waitingIn(tier: number): number {
        const lanes = this.tiers[tier];
        return lanes === undefined ? 0 : lanes.short.size + lanes.long.size;
    }

    /** Predicted slot time of what waits in this tier. */
    serviceMsIn(tier: number): number {
        return this.tiers[tier]?.serviceMs ?? 0;
    }

    /** The ticket that reaches its bound first. */
    nextToExpire(): WaitingTicket | undefined {
        return this.expiry.peek();
    }

    /** A ticket of the lowest tier that has any waiting. */
    lowest(): WaitingTicket | undefined {
        for (let tier = this.tiers.length - 1; tier >= 0; tier--) {
            const lanes = this.tiers[tier] as TierLanes;
            const tail = lanes.long.tail() ?? lanes.short.tail();
            if (tail !== undefined) {
                return tail;
            }
        }
        return undefined;
    }

    private forget(waiting: WaitingTicket): void {
        this.byRequest.delete(waiting.ticket.requestId);
        const lanes = this.lanesOf(waiting.ticket.tier);
        lanes.serviceMs = Math.max(0, lanes.serviceMs - waiting.serviceMs);
        this.expiry.remove(waiting);
    }

    private lanesOf(tier: number): TierLanes {
        while (this.tiers.length <= tier) {
            this.tiers.push({ short: new TicketLane(this.order), long: new TicketLane(this.order), serviceMs: 0 });
        }
        return this.tiers[tier] as TierLanes;
    }
}

function laneOf(lanes: TierLanes, waiting: WaitingTicket): TicketLane {
    return waiting.isLong ? lanes.long : lanes.short;
}
