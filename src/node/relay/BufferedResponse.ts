import type { IncomingHttpHeaders } from "node:http";

/** An upstream's own answer, held whole. */
export interface BufferedResponse {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly body: Buffer;
}
