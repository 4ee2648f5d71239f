/** State of one connection to an upstream. */
export interface ConnectionState {
    /** The connection was reset or failed, so a response that is delimited by the end of its connection may be truncated. */
    hasFailed: boolean;
}
