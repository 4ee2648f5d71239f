import { Transform, type TransformCallback } from "node:stream";

/** Passes a body on up to a limit, and breaks it off beyond. */
export class LimitedBody extends Transform {
    constructor(maxBytes: number) {
        let sizeBytes = 0;
        super({
            transform(...[part, , callback]: [Buffer, BufferEncoding, TransformCallback]): void {
                sizeBytes += part.length;
                if (sizeBytes > maxBytes) {
                    callback(new Error(`the body is larger than ${maxBytes} bytes; send less`));
                    return;
                }
                callback(undefined, part);
            },
        });
    }
}
