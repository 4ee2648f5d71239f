import type { IncomingHttpHeaders } from "node:http";

const outcomeHeader = "x-orioleshelf-outcome";

/** Whether the upstream confirms by a response header that it did not run the call. */
export function confirmsNotRun(headers: IncomingHttpHeaders): boolean {
    return headers[outcomeHeader] === "not-run";
}
