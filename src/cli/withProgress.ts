import type { CommandContext } from "./CommandContext.js";

const progressDelayMs = 2_000;
const progressPeriodMs = 1_000;

/** Waits for `work`; on a terminal, prints `activity` with the elapsed time every second, from two seconds on. */
export async function withProgress<T>(context: CommandContext, activity: string, work: Promise<T>): Promise<T> {
    if (!context.isTerminal) {
        return work;
    }
    const startedAtMs = performance.now();
    const timer = setInterval(() => {
        const elapsedMs = performance.now() - startedAtMs;
        if (elapsedMs >= progressDelayMs) {
            context.printError(`${activity} … ${Math.round(elapsedMs / 1_000)} s`);
        }
    }, progressPeriodMs);
    try {
        return await work;
    }
    finally {
        clearInterval(timer);
    }
}
