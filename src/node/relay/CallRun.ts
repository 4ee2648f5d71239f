import type { RunEvidence } from "../../core/duties/RunEvidence.js";
import type { AttemptResult } from "./AttemptResult.js";
import type { CallContext } from "./CallContext.js";
import type { RunningAttempt } from "./RunningAttempt.js";

/** Reports the run of one call for the usage of its customer, once, at the first attempt that ran. */
export class CallRun {
    private hasBegun = false;

    constructor(private readonly context: CallContext) {}

    /** Records an event of a stream; the first one shows that the stream has begun to run. */
    recordEvent(): void {
        this.report({ kind: "event" });
    }

    /** Records the head of a response by which the upstream answers the call, not one that refuses it. */
    recordAnswerHead(running: RunningAttempt): void {
        const { route } = this.context.request;
        if (route.kind !== "stream") {
            this.report({ kind: "head", route: route.name, sentMs: running.sentMs });
        }
    }

    /** An attempt that was sent and ended without an answer or a refusal may have run. A stream has not begun before its first event. */
    recordResult(running: RunningAttempt, result: AttemptResult): void {
        const mayHaveRun = result.kind === "broken" || result.kind === "cancelled" && result.isSent;
        if (mayHaveRun && this.context.request.route.kind !== "stream") {
            this.report({ kind: "no-answer", sentMs: running.sentMs });
        }
    }

    private report(evidence: RunEvidence): void {
        const { dependencies: { onRunBegun }, request: { customer, route } } = this.context;
        if (!this.hasBegun && customer !== undefined && !route.isPublic) {
            this.hasBegun = true;
            onRunBegun?.(customer.name, evidence);
        }
    }
}
