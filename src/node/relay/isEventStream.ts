import type { IncomingHttpHeaders } from "node:http";

/** Whether these response headers announce a stream of server-sent events. */
export function isEventStream(headers: IncomingHttpHeaders): boolean {
    return String(headers["content-type"] ?? "").startsWith("text/event-stream");
}
