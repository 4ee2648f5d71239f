import type { Ticket } from "../../schema/peer/Ticket.js";

/** A running grant as an entry VM announces it to a new dispatcher. */
export interface AdoptedGrant {
    readonly grantId: string;
    readonly ticket: Ticket;
    readonly upstreamId: string;
    /** Time since the grant. */
    readonly ageMs: number;
    readonly outputTokens: number;
    /** Undefined until the first token was seen. */
    readonly firstTokenMs: number | undefined;
}
