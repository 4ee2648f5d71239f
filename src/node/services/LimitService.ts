import type { ResultAsync } from "neverthrow";
import type { Customer } from "../../schema/config/Customer.js";
import type { Admission } from "./Admission.js";
import type { LimitRefusal } from "./LimitRefusal.js";

/** Enforces customer limits over the whole fleet. */
export interface LimitService {
    /**
     * `estimatedTokens` is prompt plus predicted output; the admission is corrected when the call ends. Settles at once while this VM
     * holds enough of the customer's limits, and otherwise after about a round trip to another VM.
     */
    acquire(customer: Customer, estimatedTokens: number): ResultAsync<Admission, LimitRefusal>;
}
