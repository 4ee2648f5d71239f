/** A call that waited for its first event on an engine. */
export interface WaitingCall {
    /** Ids of the shared parts of its prompt, in order. */
    readonly partIds: readonly string[];
    /** When it was sent to the engine. */
    readonly sentMs: number;
}
