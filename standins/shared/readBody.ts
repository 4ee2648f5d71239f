import type { IncomingMessage } from "node:http";

/** Reads the complete request body; rejects if the client disconnects before the end. */
export async function readBody(request: IncomingMessage): Promise<Buffer> {
    const parts: Buffer[] = [];
    for await (const part of request) {
        parts.push(part as Buffer);
    }
    return Buffer.concat(parts);
}
