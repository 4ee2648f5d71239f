import type { HistoryEvent } from "./HistoryEvent.js";

type EventOf<T extends HistoryEvent["type"]> = Extract<HistoryEvent, { type: T; }>;

/** What happened to one call. */
interface CallHistory {
    readonly called: EventOf<"called">;
    readonly sent: EventOf<"sent">[];
    readonly ran: EventOf<"ran">[];
    readonly answered: EventOf<"upstreamAnswered">[];
    readonly told: EventOf<"told">[];
}

/** A history sorted by call, with what crashed and when the faults ended. */
export class BookingHistory {
    readonly calls = new Map<number, CallHistory>();
    readonly crashed = new Set<string>();
    readonly healedAtMs: number;

    constructor(readonly events: readonly HistoryEvent[]) {
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

    private add(event: HistoryEvent): void {
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
