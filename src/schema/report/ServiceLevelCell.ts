import * as z from "zod";

const Count = z.number().min(0);
const EncodedHistogram = z.string().max(65_536).optional();

/** Counts and histograms of one class on one path during an interval. Cells can be added up; histograms merge without loss. */
export const ServiceLevelCell = z.object({
    serviceClass: z.string(),
    path: z.enum(["old", "new"]),
    good: Count,
    bad: Count,
    badByReason: z.record(z.string(), Count),
    outputTokens: Count,
    wastedTokens: Count,
    /** Histograms in units of 0.1 ms, in the compressed base64 encoding of HdrHistogram. */
    histograms: z.object({
        "queue": EncodedHistogram,
        "first-token": EncodedHistogram,
        "token-gap": EncodedHistogram,
        "total": EncodedHistogram,
        "short-queue": EncodedHistogram,
    }),
});
export type ServiceLevelCell = z.infer<typeof ServiceLevelCell>;
