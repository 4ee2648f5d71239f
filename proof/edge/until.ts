const pollMs = 5;

/** Resolves when the condition holds; the test's own time limit bounds the wait. */
export async function until(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await new Promise(resolve => setTimeout(resolve, pollMs));
    }
}
