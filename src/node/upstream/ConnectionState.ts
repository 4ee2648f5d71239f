import type { FramingLimiter } from "./FramingLimiter.js";

/** State of one connection to an upstream. The next connection of the same client has a state of its own. */
export interface ConnectionState {
    /** The connection was reset or failed, so a response that is delimited by the end of its connection may be truncated. */
    hasFailed: boolean;
    /** The upstream closed the connection in order while a part of the request had not been sent. */
    hasEndedDuringUpload: boolean;
    /** The upstream has sent the head of a response on this connection; a later one may be a repetition of it. */
    hasResponded: boolean;
    /** Limits what the upstream sends outside bodies. */
    readonly framingLimiter: FramingLimiter;
    /** Lets the connection be reset when it is closed, so that what is still to be sent on it never arrives. */
    readonly resetOnClose: () => void;
}
