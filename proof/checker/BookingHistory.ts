import type { BookingEvent } from "./BookingEvent.js";

type EventOf<T extends BookingEvent["type"]> = Extract<BookingEvent, { type: T; }>;

/** Events of one call, by type. */
interface CallHistory {
    readonly called: EventOf<"called">;
    readonly sent: EventOf<"sent">[];
    readonly ran: EventOf<"ran">[];
    readonly answered: EventOf<"upstreamAnswered">[];
    readonly told: EventOf<"told">[];
}

/** Indexes a history by call, with the crashed incarnations and the time at which all faults were cleared. */
export class BookingHistory {
    readonly calls = new Map<number, CallHistory>();
    readonly crashed = new Set<string>();
    readonly healedAtMs: number;

    constructor(readonly events: readonly BookingEvent[]) {
        for (const event of events) {
            this.add(event);
        }
        this.healedAtMs = events.find(event => event.type === "healed")?.atMs ?? Infinity;
    }

    byKey(): Map<string, CallHistory[]> {
        return Map.groupBy(this.calls.values(), call => call.called.key);
    }

    hasCrashed(call: CallHistory): boolean {
        return this.crashed.has(`${call.called.vm}/${call.called.incarnation}`);
    }

    private add(event: BookingEvent): void {
        if (event.type === "vmCrashed") {
            this.crashed.add(`${event.vm}/${event.incarnation}`);
        }
        else if (event.type === "called") {
            this.calls.set(event.callId, { called: event, sent: [], ran: [], answered: [], told: [] });
        }
        else if (event.type === "sent") {
            this.calls.get(event.callId)?.sent.push(event);
        }
        else if (event.type === "ran") {
            this.calls.get(event.callId)?.ran.push(event);
        }
        else if (event.type === "upstreamAnswered") {
            this.calls.get(event.callId)?.answered.push(event);
        }
        else if (event.type === "told") {
            this.calls.get(event.callId)?.told.push(event);
        }
    }
}
