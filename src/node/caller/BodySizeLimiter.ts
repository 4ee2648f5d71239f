import { Transform, type TransformCallback } from "node:stream";

/** Passes a body through and fails with an error once it exceeds `maxBytes`. */
export class BodySizeLimiter extends Transform {
    /** Whether more than `maxBytes` have been received. */
    isLimitExceeded = false;

    constructor(maxBytes: number) {
        let sizeBytes = 0;
        super({
            transform: (...[chunk, , callback]: [Buffer, BufferEncoding, TransformCallback]) => {
                sizeBytes += chunk.length;
                if (sizeBytes > maxBytes) {
                    this.isLimitExceeded = true;
                    callback(new Error("request body exceeds its size limit"));
                    return;
                }
                callback(undefined, chunk);
            },
        });
    }
}
