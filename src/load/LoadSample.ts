import * as z from "zod";

/** One request of a load run, a line of its results. All times count from when the request was due, not from when it was sent. */
export const LoadSample = z.object({
    stream: z.string(),
    serviceClass: z.string(),
    /** When the request was due, from the start of the run. */
    dueMs: z.number(),
    /** 0 when there was no answer. */
    status: z.int(),
    outcome: z.string().optional(),
    errorCode: z.string().optional(),
    isComplete: z.boolean(),
    firstTokenMs: z.number().optional(),
    meanTokenGapMs: z.number().optional(),
    maxTokenGapMs: z.number().optional(),
    totalMs: z.number(),
    tokens: z.int(),
    requestId: z.string().optional(),
});
export type LoadSample = z.infer<typeof LoadSample>;
