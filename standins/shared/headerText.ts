import type { IncomingMessage } from "node:http";

/** One header as text; undefined when it is absent. */
export function headerText(request: IncomingMessage, name: string): string | undefined {
    const value = request.headers[name];
    return Array.isArray(value) ? value[0] : value;
}
