import type { IncomingHttpHeaders } from "node:http";

const outcomeHeader = "x-orioleshelf-outcome";

/** The upstream states that it did nothing of the call. */
export function confirmsNotRun(headers: IncomingHttpHeaders): boolean {
    return headers[outcomeHeader] === "not-run";
}
