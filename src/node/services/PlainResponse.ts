import type { Readable } from "node:stream";

/** The answer of a plain service. Its `body` is destroyed with an `UpstreamFailure` when it breaks. */
export interface PlainResponse {
    readonly upstreamId: string;
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[]>>;
    readonly body: Readable;
}
