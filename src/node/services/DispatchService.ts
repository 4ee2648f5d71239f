import type { ResultAsync } from "neverthrow";
import type { Ticket } from "../../schema/peer/Ticket.js";
import type { DispatchRefusal } from "./DispatchRefusal.js";
import type { Grant } from "./Grant.js";

/** Queues a ticket until an upstream may serve its request. */
export interface DispatchService {
    acquire(ticket: Ticket, signal: AbortSignal): ResultAsync<Grant, DispatchRefusal>;
}
