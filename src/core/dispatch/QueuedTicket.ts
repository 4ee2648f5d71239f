import type { Ticket } from "../../schema/peer/Ticket.js";

/** A ticket in the queue, with what the order and the bounds need. Instants are on the dispatcher's clock. */
export interface QueuedTicket {
    readonly ticket: Ticket;
    readonly sequence: number;
    readonly offeredAtMs: number;
    /** A grant later than this misses the class's first-token target. */
    readonly latestStartAtMs: number;
    /** The ticket is refused at this instant. */
    readonly expiresAtMs: number;
    /** It expires because its target can no longer be met, and not because it has waited for the longest. */
    readonly hasEarlyExpiry: boolean;
    /** Priority that it will have on an engine: by tier, and within it short prompts before long ones. */
    readonly priority: number;
    readonly isLong: boolean;
    readonly expectedOutputTokens: number;
    /** Predicted time in a slot, for the wait of those behind. */
    readonly serviceMs: number;
    readonly tokenGapTargetMs: number;
    /** The latest start has passed; the ticket waits in order of arrival, behind those that can still make it. */
    isLate: boolean;
    orderPosition: number;
    expiryPosition: number;
}
