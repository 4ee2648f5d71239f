import type { ServiceClass } from "../../schema/config/ServiceClass.js";
import type { RequestSample } from "./RequestSample.js";
import type { Verdict } from "./Verdict.js";

type Targets = Pick<ServiceClass, "firstTokenTargetMs" | "tokenGapTargetMs" | "totalTargetMs">;

const good: Verdict = { kind: "good" };
const excluded: Verdict = { kind: "excluded" };
const firstServerError = 500;
const firstClientError = 400;

/**
 * Judges a request by the targets of its class, from the caller's side. A malformed request, one over its customer's
 * limits, and one that its caller left before any target was missed are excluded.
 */
export function judgeRequest(sample: RequestSample, targets: Targets): Verdict {
    const missed = missedTarget(sample, targets);
    if (sample.isAbandoned) {
        return missed === undefined ? excluded : { kind: "bad", reason: missed };
    }
    if (sample.isComplete) {
        return missed === undefined ? good : { kind: "bad", reason: missed };
    }
    if (sample.status >= firstClientError && sample.status < firstServerError) {
        return excluded;
    }
    return { kind: "bad", reason: sample.errorCode ?? "incomplete" };
}

function missedTarget(sample: RequestSample, targets: Targets): string | undefined {
    if ((sample.firstTokenMs ?? sample.totalMs) > targets.firstTokenTargetMs) {
        return "first-token";
    }
    if ((sample.meanTokenGapMs ?? 0) > targets.tokenGapTargetMs) {
        return "token-gap";
    }
    if (targets.totalTargetMs !== undefined && sample.totalMs > targets.totalTargetMs) {
        return "total";
    }
    return undefined;
}
