import type { DispatchRefusal } from "../services/DispatchRefusal.js";
import { CallerFault } from "./CallerFault.js";

/** What the caller is told when no upstream was granted. */
export function faultOfRefusal(refusal: DispatchRefusal): CallerFault {
    const status = refusal.kind === "cancelled" ? 499 : 503;
    const code = refusal.kind.replaceAll("-", "_");
    return new CallerFault({ status, code, outcome: "not-run", retryAfterMs: refusal.retryAfterMs }, refusal.message);
}
