import * as z from "zod";

/** A fault that a stand-in brings about until `durationMs` has passed, or until cleared. */
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
    /** Step time is multiplied by this under `slow-tokens`. */
    factor: z.number().positive().default(5),
    /** Tokens that a stream still gets under `crash-mid-stream` and `silent`. */
    afterTokens: z.int().nonnegative().default(3),
    /** How many times the fault strikes; unlimited when absent. */
    times: z.int().positive().optional(),
});
export type Fault = z.infer<typeof Fault>;
