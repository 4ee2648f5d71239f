import type { Readable } from "node:stream";

/** The response of a plain service. Its `body` is destroyed with a `ThrownUpstreamError` when the response fails midway. */
export interface PlainResponse {
    readonly upstreamId: string;
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[]>>;
    readonly body: Readable;
}
