import { err, ok, type Result } from "neverthrow";
import type { IncomingMessage } from "node:http";
import { GrowingBuffer } from "../../core/util/GrowingBuffer.js";
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
    const body = new GrowingBuffer();
    let isTooLarge = false;
    try {
        for await (const chunk of incoming.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
            isTooLarge = body.length + chunk.length > maxBytes;
            if (isTooLarge) {
                break;
            }
            body.append(chunk);
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
    if (isTooLarge) {
        incoming.resume();
        return err(createBodyTooLargeError(maxBytes));
    }
    return ok(body.bytes);
}

function createBodyTooLargeError(maxBytes: number): CallerError {
    return new CallerError(
        { status: 413, code: "body_too_large", outcome: "not-run" },
        `request body exceeds the limit of ${maxBytes} bytes; send a smaller body`,
    );
}
