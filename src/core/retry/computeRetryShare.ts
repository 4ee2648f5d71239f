interface RetryShare {
    /** Retries earned per second regardless of traffic. */
    readonly retriesPerSecond: number;
    /** Largest number of retries that can be saved up. */
    readonly maxSavedRetries: number;
}

/**
 * Computes what one of `vms` VMs may use of the retries that a fleet may make in each window regardless of traffic: half of it saved up, half as time
 * passes. A VM can save at least one retry; where that is more than half, less is earned as time passes. A VM that does not know how many they
 * are earns none.
 */
export function computeRetryShare(slack: number, windowMs: number, vms: number | undefined): RetryShare {
    if (vms === undefined) {
        return { retriesPerSecond: 0, maxSavedRetries: 1 };
    }
    const share = slack / vms;
    const maxSavedRetries = Math.max(1, share / 2);
    return { retriesPerSecond: Math.max(0, share - maxSavedRetries) / (windowMs / 1_000), maxSavedRetries };
}
