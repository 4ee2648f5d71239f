import type { ServiceClass } from "../../schema/config/ServiceClass.js";
import type { RequestSample } from "./RequestSample.js";
import type { Verdict } from "./Verdict.js";

type Targets = Pick<ServiceClass, "firstTokenTargetMs" | "tokenGapTargetMs" | "totalTargetMs">;

const good: Verdict = { kind: "good" };
const excluded: Verdict = { kind: "excluded" };
const firstServerErrorStatus = 500;
const firstClientErrorStatus = 400;

/**
 * Judges a request by the targets of its class, as measured at the caller. Excluded are requests rejected as client errors (malformed, or
 * over the customer's limits) and those that the caller abandoned before any target was missed.
 */
export function judgeRequest(sample: RequestSample, targets: Targets): Verdict {
    const missed = findMissedTarget(sample, targets);
    if (sample.isAbandoned) {
        return missed === undefined ? excluded : { kind: "bad", reason: missed };
    }
    if (sample.isComplete) {
        return missed === undefined ? good : { kind: "bad", reason: missed };
    }
    if (sample.status >= firstClientErrorStatus && sample.status < firstServerErrorStatus) {
        return excluded;
    }
    return { kind: "bad", reason: sample.errorCode ?? "incomplete" };
}

function findMissedTarget(sample: RequestSample, targets: Targets): string | undefined {
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
