import * as z from "zod";

/** A fault that a stand-in injects until `durationMs` has passed or all faults are cleared. */
export const Fault = z.object({
    kind: z.enum([
        "none",
        "down",
        "refuse",
        "slow",
        "silent",
        "lose-answer",
        "land-late",
        "crash-mid-stream",
        "slow-tokens",
        "leaving",
        "crash-before-run",
        "crash-after-run",
    ]),
    durationMs: z.number().positive().optional(),
    delayMs: z.number().nonnegative().default(1_000),
    /** Multiplier for the step time under `slow-tokens`. */
    factor: z.number().positive().default(5),
    /** Tokens that a stream still delivers under `crash-mid-stream` and `silent`. */
    afterTokens: z.int().nonnegative().default(3),
    /** How many times the fault is applied; unlimited when absent. */
    times: z.int().positive().optional(),
});
export type Fault = z.infer<typeof Fault>;
