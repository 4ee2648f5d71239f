import { err, ok, type Result } from "neverthrow";
import type { IncomingMessage } from "node:http";
import { CallerError } from "./CallerError.js";

/** Reads a body into memory, up to a limit. A body that declares itself too large is refused before it is read. */
export async function bufferRequestBody(incoming: IncomingMessage, maxBytes: number): Promise<Result<Buffer, CallerError>> {
    if (Number(incoming.headers["content-length"] ?? 0) > maxBytes) {
        return err(tooLarge(maxBytes));
    }
    const parts: Buffer[] = [];
    let sizeBytes = 0;
    try {
        for await (const part of incoming as AsyncIterable<Buffer>) {
            sizeBytes += part.length;
            if (sizeBytes > maxBytes) {
                return err(tooLarge(maxBytes));
            }
            parts.push(part);
        }
    }
    catch {
        return err(
            new CallerError(
                { status: 400, code: "body_incomplete", outcome: "not-run" },
                "the body ended early; send the whole request again",
            ),
        );
    }
    return ok(Buffer.concat(parts));
}

function tooLarge(maxBytes: number): CallerError {
    return new CallerError(
        { status: 413, code: "body_too_large", outcome: "not-run" },
        `the body is larger than ${maxBytes} bytes; send less`,
    );
}
