const pollMs = 5;
const limitMs = 12_000;

/** Resolves when the condition holds; rejects when it has not come to hold, so that no test process is kept alive by the wait. */
export async function until(condition: () => boolean): Promise<void> {
    for (let waitedMs = 0; !condition(); waitedMs += pollMs) {
        if (waitedMs > limitMs) {
            throw new Error("the condition did not come to hold");
        }
        await new Promise(resolve => setTimeout(resolve, pollMs));
    }
}
