import type { Ticket } from "../../schema/peer/Ticket.js";
import type { DispatchRefusal } from "../services/DispatchRefusal.js";
import type { Grant } from "../services/Grant.js";

/** A ticket of this VM that is queued at a dispatcher. */
export interface WaitingTicket {
    readonly ticket: Ticket;
    readonly startedMs: number;
    shard: string;
    dispatcher: string;
    attempt: number;
    readonly resolveGrant: (grant: Grant) => void;
    readonly refuse: (refusal: DispatchRefusal) => void;
}
