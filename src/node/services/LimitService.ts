import type { ResultAsync } from "neverthrow";
import type { Customer } from "../../schema/config/Customer.js";
import type { Admission } from "./Admission.js";
import type { LimitRefusal } from "./LimitRefusal.js";

/** Enforces customer limits across the whole fleet. */
export interface LimitService {
    /**
     * `estimatedTokens` is prompt plus predicted output tokens; ending the admission corrects it. Settles immediately while this VM
     * holds enough of the customer's limits, and otherwise after about one round trip to another VM.
     */
    acquire(customer: Customer, estimatedTokens: number): ResultAsync<Admission, LimitRefusal>;
}
