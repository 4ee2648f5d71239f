import type { CommandContext } from "./CommandContext.js";

const showAfterMs = 2_000;
const periodMs = 1_000;

/** Waits for `work`; when it takes longer than two seconds on a terminal, tells each second that it goes on. */
export async function withProgress<T>(context: CommandContext, what: string, work: Promise<T>): Promise<T> {
    if (!context.isTerminal) {
        return work;
    }
    const startedMs = performance.now();
    const timer = setInterval(() => {
        const passedMs = performance.now() - startedMs;
        if (passedMs >= showAfterMs) {
            context.printError(`${what} … ${Math.round(passedMs / 1_000)} s`);
        }
    }, periodMs);
    try {
        return await work;
    }
    finally {
        clearInterval(timer);
    }
}
