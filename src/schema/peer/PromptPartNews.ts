import * as z from "zod";

/** What a VM tells the others about prompt parts that crash engines. Times are relative to the sending. */
export const PromptPartNews = z.discriminatedUnion("kind", [
    /** An engine has crashed while calls of the sender waited there for their first event. */
    z.object({
        kind: z.literal("crash"),
        engineKey: z.string(),
        crashedMsAgo: z.number(),
        calls: z.array(z.object({ partIds: z.array(z.string()), sentMsAgo: z.number() })),
    }),
    /** An engine has begun to answer a call with these parts. */
    z.object({ kind: z.literal("answer"), partIds: z.array(z.string()), begunMsAgo: z.number() }),
    /** The sender tests with a call whether a quarantined part still crashes engines. */
    z.object({ kind: z.literal("probe"), partId: z.string() }),
    /** The parts that are quarantined at the sender; for a VM that may have missed news. */
    z.object({
        kind: z.literal("snapshot"),
        nextProbeInMs: z.number(),
        parts: z.array(z.object({
            partId: z.string(),
            crashes: z.int(),
            failedProbes: z.int(),
            lastEngineKey: z.string(),
            lastCrashMsAgo: z.number(),
            quarantinedMsAgo: z.number(),
        })),
    }),
]);
export type PromptPartNews = z.infer<typeof PromptPartNews>;
