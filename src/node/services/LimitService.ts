import type { Result } from "neverthrow";
import type { Customer } from "../../schema/config/Customer.js";
import type { Admission } from "./Admission.js";
import type { LimitRefusal } from "./LimitRefusal.js";

/** Enforces customer limits over the whole fleet. */
export interface LimitService {
    /** `estimatedTokens` is prompt plus predicted output; the admission is corrected when the call ends. */
    admit(customer: Customer, estimatedTokens: number): Result<Admission, LimitRefusal>;
}
