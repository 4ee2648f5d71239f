import * as z from "zod";

const amounts = z.array(z.number()).max(60);

/** What a VM has let through for one customer, and what it would like to borrow. It gives back what is left of its last loan. */
export const QuotaReport = z.object({
    /** Wanted until the next report. */
    wantedRequests: z.number().min(0),
    wantedTokens: z.number().min(0),
    wantedConcurrent: z.int().min(0),
    /** Let through since the VM started; counts that only grow make repeated and lost reports harmless. */
    usedRequests: z.number(),
    usedTokens: z.number(),
    inFlight: z.int().min(0),
    /** Sent to an owner that may not know this VM's use of the last minute: seconds ago, newest first. */
    history: z.object({
        requests: amounts,
        tokens: amounts,
        /** Share of each limit that the former owner said was used by the whole fleet, aged since. */
        fleetUsedRequests: z.number().min(0),
        fleetUsedTokens: z.number().min(0),
    }).optional(),
});
export type QuotaReport = z.infer<typeof QuotaReport>;
