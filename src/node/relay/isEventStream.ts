import type { IncomingHttpHeaders } from "node:http";

/** Whether the head of an answer announces a stream of events. */
export function isEventStream(headers: IncomingHttpHeaders): boolean {
    return String(headers["content-type"] ?? "").startsWith("text/event-stream");
}
