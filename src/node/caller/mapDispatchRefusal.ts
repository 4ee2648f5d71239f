import type { DispatchRefusal } from "../services/DispatchRefusal.js";
import { CallerError } from "./CallerError.js";

/** Maps a dispatcher's refusal to the error response. */
export function mapDispatchRefusal(refusal: DispatchRefusal): CallerError {
    const status = refusal.kind === "cancelled" ? 499 : 503;
    const code = refusal.kind.replaceAll("-", "_");
    return new CallerError({ status, code, outcome: "not-run", retryAfterMs: refusal.retryAfterMs }, refusal.message);
}
