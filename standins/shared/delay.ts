/** Resolves after `delayMs` milliseconds. */
export function delay(delayMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, delayMs));
}
