/** Properties of a failed attempt that decide whether it may be retried. */
export interface AttemptFailure {
    /** False only when no byte reached the upstream, or the upstream confirmed that it did no work on the request. */
    readonly mayHaveRun: boolean;
    /** The request itself is at fault, so any other upstream would refuse it too. */
    readonly isClientError: boolean;
}
