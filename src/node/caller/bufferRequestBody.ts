import { err, ok, type Result } from "neverthrow";
import type { IncomingMessage } from "node:http";
import { CallerError } from "./CallerError.js";

/**
 * Reads a request body of at most `maxBytes` into memory. The rest of a longer one is dropped as it arrives: closing the connection before the
 * caller has sent it would reset the connection, and the caller would lose the response.
 */
export async function bufferRequestBody(incoming: IncomingMessage, maxBytes: number): Promise<Result<Buffer, CallerError>> {
    if (Number(incoming.headers["content-length"] ?? 0) > maxBytes) {
        incoming.resume();
        return err(createBodyTooLargeError(maxBytes));
    }
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    try {
        for await (const chunk of incoming.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
            sizeBytes += chunk.length;
            if (sizeBytes > maxBytes) {
                break;
            }
            chunks.push(chunk);
        }
    }
    catch {
        return err(
            new CallerError(
                { status: 400, code: "body_incomplete", outcome: "not-run" },
                "request body ended early; send the complete request again",
            ),
        );
    }
    if (sizeBytes > maxBytes) {
        incoming.resume();
        return err(createBodyTooLargeError(maxBytes));
    }
    return ok(Buffer.concat(chunks));
}

function createBodyTooLargeError(maxBytes: number): CallerError {
    return new CallerError(
        { status: 413, code: "body_too_large", outcome: "not-run" },
        `request body exceeds the limit of ${maxBytes} bytes; send a smaller body`,
    );
}
