const pollMs = 5;
const timeoutMs = 12_000;

/** Polls until the condition holds. Rejects after a time-out, so that a failed wait does not keep the test process alive. */
export async function until(condition: () => boolean): Promise<void> {
    for (let waitedMs = 0; !condition(); waitedMs += pollMs) {
        if (waitedMs > timeoutMs) {
            throw new Error("condition was not met before the time-out");
        }
        await new Promise(resolve => setTimeout(resolve, pollMs));
    }
}
