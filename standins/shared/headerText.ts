import type { IncomingMessage } from "node:http";

/** The value of a header, or the first one if Node.js reports several; undefined when it is absent. */
export function headerText(request: IncomingMessage, name: string): string | undefined {
    const value = request.headers[name];
    return Array.isArray(value) ? value[0] : value;
}
