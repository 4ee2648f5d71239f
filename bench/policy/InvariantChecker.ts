import type { DispatchAction } from "../../src/core/dispatch/DispatchAction.js";
import type { Job } from "./Job.js";

/** Allowance for message delay and timers when queue times are checked. */
const queueTimeToleranceMs = 60;

/** Checks the invariants at every step and records a message for each violation. */
export class InvariantChecker {
    readonly violations: string[] = [];
    private readonly waitingTiers = new Map<object, Map<string, number>>();

    recordOffer(dispatcher: object, requestId: string, tier: number): void {
        const waiting = this.waitingTiers.get(dispatcher) ?? new Map<string, number>();
        waiting.set(requestId, tier);
        this.waitingTiers.set(dispatcher, waiting);
    }

    /** Checks that no ticket is shed while one of a lower tier waits, and that a ticket is preempted only for a higher tier. */
    checkActions(dispatcher: object, actions: readonly DispatchAction[]): void {
        const waiting = this.waitingTiers.get(dispatcher) ?? new Map<string, number>();
        for (const action of actions) {
            if (action.type === "refuse") {
                waiting.delete(action.requestId);
                if (action.kind === "shed" && [...waiting.values()].some(tier => tier > action.tier)) {
                    this.violations.push(`${action.requestId} of tier ${action.tier} was shed while a ticket of a lower tier was waiting`);
                }
            }
            if (action.type === "preempt" && action.reason === "higher-tier" && action.forTier >= action.tier) {
                this.violations.push(
                    `${action.requestId} of tier ${action.tier} was preempted for tier ${action.forTier}, which is not higher`,
                );
            }
        }
        for (const action of actions) {
            if (action.type === "grant") {
                waiting.delete(action.requestId);
            }
        }
    }

    /** Checks that a job has no open stream when it takes a grant; only a hedge requested by the dispatcher may add a second one. */
    checkOpen(job: Job, openStreams: number): void {
        if (openStreams > 0) {
            this.violations.push(`${job.id} was sent to an engine while it had a live grant`);
        }
    }

    /** Checks that the first grant or refusal of a job arrives within the `maxQueueMs` of its class. */
    checkDecision(job: Job, nowMs: number): void {
        if (nowMs > job.arrivalMs + job.jobClass.serviceClass.maxQueueMs + queueTimeToleranceMs) {
            this.violations.push(
                `${job.id} was decided ${Math.round(nowMs - job.arrivalMs)} ms after its arrival, later than the maxQueueMs of its class`,
            );
        }
    }
}
