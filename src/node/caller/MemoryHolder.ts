/** A connection in `CallerMemoryBudget`. */
export interface MemoryHolder {
    /** What `evict` releases; calls that are running keep their bodies. */
    readonly evictableBytes: number;
    /** Whether a request body on the connection has not arrived completely. */
    readonly isReceiving: boolean;
    /** Whether that body belongs to a call that would be denied by the present configuration. */
    readonly isDenied?: boolean;
    /** Releases memory at once: refuses the unfinished body, or closes the connection. */
    evict(): void;
}
