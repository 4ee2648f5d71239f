import { setTimeout } from "node:timers/promises";

const pollMs = 20;
/** Far longer than any condition needs, so that reaching it is a failure. */
const timeoutMs = 60_000;

/** Polls until the condition is met; throws an error with its description when it is not met within 60 s. */
export async function waitUntil(condition: string, isMet: () => boolean | Promise<boolean>): Promise<void> {
    for (let waitedMs = 0; waitedMs < timeoutMs; waitedMs += pollMs) {
        if (await isMet()) {
            return;
        }
        await setTimeout(pollMs);
    }
    throw new Error(`condition not met in time: ${condition}`);
}
