import * as z from "zod";

/** Quota that a VM may use for one customer until the loan expires. It replaces the VM's earlier loan. */
export const QuotaLoan = z.object({
    requests: z.number().min(0),
    tokens: z.number().min(0),
    concurrent: z.int().min(0),
    validMs: z.number().min(0),
    /** Shares of the two limits that the whole fleet has used in the last minute. */
    fleetUsedRequests: z.number().min(0),
    fleetUsedTokens: z.number().min(0),
});
export type QuotaLoan = z.infer<typeof QuotaLoan>;
