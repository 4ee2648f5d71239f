import * as z from "zod";

const AmountsPerSecond = z.array(z.number()).max(60);

/** A VM's usage for one customer and the quota that it asks for. Sending it returns the rest of the VM's last loan. */
export const QuotaReport = z.object({
    /** Quota wanted until the next report. */
    wantedRequests: z.number().min(0),
    wantedTokens: z.number().min(0),
    wantedConcurrent: z.int().min(0),
    /** Admitted since the VM started; cumulative, so that duplicate and lost reports do not distort the usage. */
    usedRequests: z.number(),
    usedTokens: z.number(),
    inFlight: z.int().min(0),
    /** Usage per second of the last minute, newest first; sent to an owner that may not know it. */
    history: z.object({
        requests: AmountsPerSecond,
        tokens: AmountsPerSecond,
        /** Shares of the two limits used by the whole fleet, as last reported by the former owner and reduced with age. */
        fleetUsedRequests: z.number().min(0),
        fleetUsedTokens: z.number().min(0),
    }).optional(),
});
export type QuotaReport = z.infer<typeof QuotaReport>;
