import type { IncomingMessage } from "node:http";

/** Reads a whole request body; rejects when the sender goes first. */
export async function readBody(request: IncomingMessage): Promise<Buffer> {
    const parts: Buffer[] = [];
    for await (const part of request) {
        parts.push(part as Buffer);
    }
    return Buffer.concat(parts);
}
