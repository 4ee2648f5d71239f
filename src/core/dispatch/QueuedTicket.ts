import type { Ticket } from "../../schema/peer/Ticket.js";

/** A waiting ticket with the data for its order and expiry. Timestamps (`…AtMs`) are on the dispatcher's clock. */
export interface QueuedTicket {
    readonly ticket: Ticket;
    readonly sequence: number;
    readonly offeredAtMs: number;
    /** A grant after this time misses the first-token target of the class. */
    readonly latestStartAtMs: number;
    /** The ticket is refused at this time. */
    readonly expiresAtMs: number;
    /** Whether it expires because its first-token target can no longer be met, rather than at its maximum queue time. */
    readonly isRefusedEarly: boolean;
    /** Priority on the engine; 0 is most urgent. Ordered by tier, and within a tier short prompts before long ones. */
    readonly priority: number;
    /** Predicted to occupy its slot for longer than `longRequestThresholdMs`, whatever the length of its prompt. */
    readonly isLong: boolean;
    readonly expectedOutputTokens: number;
    /** Predicted time in a slot, used to predict the wait of the tickets behind it. */
    readonly serviceMs: number;
    readonly tokenGapTargetMs: number;
    /** Whether the latest start has passed; late tickets wait in order of arrival, behind those that can still meet their target. */
    isLate: boolean;
    orderPosition: number;
    expiryPosition: number;
}
