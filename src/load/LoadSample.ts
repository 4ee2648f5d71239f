import * as z from "zod";

/** Result of one request of a load run. Latencies are measured from when the request was due, not from when it was sent. */
export const LoadSample = z.object({
    stream: z.string(),
    serviceClass: z.string(),
    /** Due time of the request, relative to the start of the run. */
    dueMs: z.number(),
    /** HTTP status; 0 without an answer. */
    status: z.int(),
    outcome: z.string().optional(),
    errorCode: z.string().optional(),
    isComplete: z.boolean(),
    /** Time to first token; for a `call` stream, time to the response headers. */
    firstTokenMs: z.number().optional(),
    meanTokenGapMs: z.number().optional(),
    maxTokenGapMs: z.number().optional(),
    totalMs: z.number(),
    tokens: z.int(),
    requestId: z.string().optional(),
});
export type LoadSample = z.infer<typeof LoadSample>;
