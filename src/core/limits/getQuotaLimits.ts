import type { Customer } from "../../schema/config/Customer.js";
import type { QuotaLimits } from "./QuotaLimits.js";

/** The quota limits configured for a customer; undefined when there are none. */
export function getQuotaLimits(customer: Customer): QuotaLimits | undefined {
    const { requestsPerMinute, tokensPerMinute, concurrentRequests } = customer;
    if (requestsPerMinute === undefined && tokensPerMinute === undefined && concurrentRequests === undefined) {
        return undefined;
    }
    return {
        requests: requestsPerMinute ?? Infinity,
        tokens: tokensPerMinute ?? Infinity,
        concurrent: concurrentRequests ?? Infinity,
    };
}
