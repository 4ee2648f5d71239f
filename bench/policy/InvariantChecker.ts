import type { DispatchAction } from "../../src/core/dispatch/DispatchAction.js";
import type { Job } from "./Job.js";

/** Slack for message delay and timers when bounds on waiting are checked. */
const boundSlackMs = 60;

/** Watches what must hold at every step and keeps each breach in words. */
export class InvariantChecker {
    readonly violations: string[] = [];
    private readonly waitingTiers = new Map<object, Map<string, number>>();

    noteOffer(dispatcher: object, requestId: string, tier: number): void {
        const waiting = this.waitingTiers.get(dispatcher) ?? new Map<string, number>();
        waiting.set(requestId, tier);
        this.waitingTiers.set(dispatcher, waiting);
    }

    /** A higher tier is never shed while a lower one waits, nor preempted unless a higher one waits. */
    noteActions(dispatcher: object, actions: readonly DispatchAction[]): void {
        const waiting = this.waitingTiers.get(dispatcher) ?? new Map<string, number>();
        for (const action of actions) {
            if (action.type === "refuse") {
                waiting.delete(action.requestId);
                if (action.kind === "shed" && [...waiting.values()].some(tier => tier > action.tier)) {
                    this.violations.push(`${action.requestId} of tier ${action.tier} was shed while a lower tier waits`);
                }
            }
            if (action.type === "preempt" && action.reason === "higher-tier" && action.forTier >= action.tier) {
                this.violations.push(`${action.requestId} of tier ${action.tier} was preempted for tier ${action.forTier}`);
            }
        }
        for (const action of actions) {
            if (action.type === "grant") {
                waiting.delete(action.requestId);
            }
        }
    }

    /** A job has at most one live grant, but for a hedge that the dispatcher asked for. */
    noteOpen(job: Job, openStreams: number): void {
        if (openStreams > 0) {
            this.violations.push(`${job.id} was sent while it had a live grant`);
        }
    }

    /** A job was first granted or refused. */
    noteDecided(job: Job, nowMs: number): void {
        if (nowMs > job.arrivalMs + job.jobClass.serviceClass.maxQueueMs + boundSlackMs) {
            this.violations.push(`${job.id} was decided ${Math.round(nowMs - job.arrivalMs)} ms after its arrival, beyond its bound`);
        }
    }
}
