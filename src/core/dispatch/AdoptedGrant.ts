import type { Ticket } from "../../schema/peer/Ticket.js";

/** A running grant that an entry VM reports to a new dispatcher. */
export interface AdoptedGrant {
    readonly grantId: string;
    readonly ticket: Ticket;
    readonly upstreamId: string;
    /** Time since the grant. */
    readonly ageMs: number;
    readonly outputTokens: number;
    /** Time from the grant to the first token; undefined before it. */
    readonly firstTokenMs: number | undefined;
}
