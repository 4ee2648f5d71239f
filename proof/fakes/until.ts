const pollMs = 10;
const limitMs = 15_000;

/** Resolves when a condition holds; rejects when it has not come to hold, so that no test process is kept alive by the wait. */
export async function until(isReached: () => boolean | Promise<boolean>): Promise<void> {
    for (let waitedMs = 0; !await isReached(); waitedMs += pollMs) {
        if (waitedMs > limitMs) {
            throw new Error("the condition did not come to hold");
        }
        await new Promise(resolve => setTimeout(resolve, pollMs));
    }
}
