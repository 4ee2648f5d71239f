import { setTimeout } from "node:timers/promises";

const pollMs = 20;
/** Far beyond what is needed; a test that gets here has failed. */
const giveUpMs = 60_000;

/** Polls until the condition holds; throws with `what` when it never does. */
export async function waitUntil(what: string, holds: () => boolean | Promise<boolean>): Promise<void> {
    for (let waitedMs = 0; waitedMs < giveUpMs; waitedMs += pollMs) {
        if (await holds()) {
            return;
        }
        await setTimeout(pollMs);
    }
    throw new Error(`waited in vain until ${what}`);
}
