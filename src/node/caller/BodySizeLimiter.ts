import { Transform, type TransformCallback } from "node:stream";

/** Passes a body on up to a limit, and breaks it off beyond. */
export class BodySizeLimiter extends Transform {
    /** More than the limit has come. */
    isLimitExceeded = false;

    constructor(maxBytes: number) {
        let sizeBytes = 0;
        super({
            transform: (...[part, , callback]: [Buffer, BufferEncoding, TransformCallback]) => {
                sizeBytes += part.length;
                if (sizeBytes > maxBytes) {
                    this.isLimitExceeded = true;
                    callback(new Error("the body is larger than its limit"));
                    return;
                }
                callback(undefined, part);
            },
        });
    }
}
