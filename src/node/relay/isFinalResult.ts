import type { AttemptResult } from "./AttemptResult.js";
import type { CallerResponse } from "./CallerResponse.js";
import { cancelReasons } from "./cancelReasons.js";

const finalCancelReasons: readonly string[] = [
    cancelReasons.deadlineExceeded,
    cancelReasons.callerDisconnected,
    cancelReasons.partQuarantined,
    cancelReasons.vmStopping,
];

/** Whether no other attempt may follow this result: it is an answer, or the call has been given up. */
export function isFinalResult(result: AttemptResult, callerResponse: CallerResponse): boolean {
    switch (result.kind) {
        case "forwarded":
            return callerResponse.framer.canEnd;
        case "held":
            return result.answer.status < 500 && !callerResponse.hasSentHead;
        case "cancelled":
            return finalCancelReasons.includes(result.reason);
        default:
            return false;
    }
}
