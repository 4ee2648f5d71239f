/** How far an attempt got before it failed. */
export interface AttemptFailure {
    /** False only when no byte reached the upstream, or the upstream confirmed that it did nothing. */
    readonly mayHaveRun: boolean;
    /** The failure lies with the request itself, so that another upstream would refuse it too. */
    readonly isRequestFault: boolean;
}
