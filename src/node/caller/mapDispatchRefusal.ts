import type { DispatchRefusal } from "../services/DispatchRefusal.js";
import { CallerError } from "./CallerError.js";

/** What the caller is told when no upstream was granted. */
export function mapDispatchRefusal(refusal: DispatchRefusal): CallerError {
    const status = refusal.kind === "cancelled" ? 499 : 503;
    const code = refusal.kind.replaceAll("-", "_");
    return new CallerError({ status, code, outcome: "not-run", retryAfterMs: refusal.retryAfterMs }, refusal.message);
}
