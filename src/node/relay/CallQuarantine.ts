import type { PartAdmission } from "../../core/quarantine/PartAdmission.js";
import type { CallContext } from "./CallContext.js";
import { cancelReasons } from "./cancelReasons.js";
import type { RunningAttempt } from "./RunningAttempt.js";

/** Keeps one call with a quarantined prompt part from upstreams, unless it is to probe whether the part still crashes them. */
export class CallQuarantine {
    private isProbe = false;

    constructor(private readonly context: CallContext) {}

    /** Decides whether the call may be sent; `isNotRun` is whether no upstream has run it so far. */
    admit(isNotRun: boolean): PartAdmission {
        if (this.isProbe && isNotRun) {
            return { kind: "admitted" };
        }
        const { dependencies, sharedPartIds, service, request } = this.context;
        const admission = dependencies.partGuard.admit(sharedPartIds, service, request.call.requestId);
        this.isProbe = admission.kind === "probe";
        return admission;
    }

    /** Withdraws the call from an upstream that has not begun to answer it when one of its parts is quarantined. */
    watch(running: RunningAttempt): void {
        const { dependencies, sharedPartIds, request, callerResponse } = this.context;
        if (sharedPartIds.length === 0 || this.isProbe) {
            return;
        }
        dependencies.partGuard.watch(sharedPartIds, () => {
            if (!running.hasBegun(request.route.kind) && callerResponse.framer.eventCount === 0) {
                running.attempt.abort(cancelReasons.partQuarantined);
            }
        }, running.endSignal);
    }
}
