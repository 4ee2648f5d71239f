import type { IncomingHttpHeaders } from "node:http";

/** An upstream's complete response, buffered in memory. */
export interface BufferedResponse {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly body: Buffer;
}
