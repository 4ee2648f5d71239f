import * as z from "zod";

const Count = z.number().min(0);
const Encoded = z.string().max(65_536).optional();

/** What happened to the requests of one class on one path during an interval. Cells add up; histograms merge exactly. */
export const ServiceLevelCell = z.object({
    serviceClass: z.string(),
    path: z.enum(["old", "new"]),
    good: Count,
    bad: Count,
    badByReason: z.record(z.string(), Count),
    outputTokens: Count,
    wastedTokens: Count,
    /** Histograms in the compressed encoding of HdrHistogram, in tenths of a millisecond. */
    histograms: z.object({ "queue": Encoded, "first-token": Encoded, "token-gap": Encoded, "total": Encoded, "short-queue": Encoded }),
});
export type ServiceLevelCell = z.infer<typeof ServiceLevelCell>;
