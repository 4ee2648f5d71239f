/** What is known of one connection to an upstream. */
export interface ConnectionState {
    /** The connection was reset or failed, so that an answer which ends with its connection may not be whole. */
    hasFailed: boolean;
}
