import { err, ok, type Result } from "neverthrow";
import type { IncomingMessage } from "node:http";
import { CallerError } from "./CallerError.js";

/** Reads a request body of at most `maxBytes` into memory. A body whose content-length exceeds the limit is rejected before it is read. */
export async function bufferRequestBody(incoming: IncomingMessage, maxBytes: number): Promise<Result<Buffer, CallerError>> {
    if (Number(incoming.headers["content-length"] ?? 0) > maxBytes) {
        return err(createBodyTooLargeError(maxBytes));
    }
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    try {
        for await (const chunk of incoming as AsyncIterable<Buffer>) {
            sizeBytes += chunk.length;
            if (sizeBytes > maxBytes) {
                return err(createBodyTooLargeError(maxBytes));
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
    return ok(Buffer.concat(chunks));
}

function createBodyTooLargeError(maxBytes: number): CallerError {
    return new CallerError(
        { status: 413, code: "body_too_large", outcome: "not-run" },
        `request body exceeds the limit of ${maxBytes} bytes; send a smaller body`,
    );
}
