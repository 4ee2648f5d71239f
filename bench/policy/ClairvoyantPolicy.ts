import type { EngineFake } from "./EngineFake.js";
import { engineProfile } from "./engineProfile.js";
import type { Job } from "./Job.js";
import type { Policy } from "./Policy.js";
import type { World } from "./World.js";

const maxSends = 4;
/** Waiting jobs considered in one placement pass. */
const maxJobsPerPass = 64;
/** Calls that an engine may hold beyond its batch size; it pauses the excess. */
const maxPausedCalls = 8;

interface Placement {
    readonly engine: EngineFake;
    readonly firstTokenMs: number;
    readonly finishMs: number;
}

/**
 * Reference policy: one queue without message delay that knows every output length, the internal state of each engine and the current slowdowns.
 * It serves tiers in order, refuses jobs that can no longer meet their first-token target, and sends each job to the engine that finishes it first.
 */
export class ClairvoyantPolicy implements Policy {
    readonly controlBytes = 0;
    readonly violations: readonly string[] = [];
    private waiting: Job[] = [];

    constructor(private readonly world: World) {
        world.onCut(() => this.place());
    }

    arrive(job: Job): void {
        this.waiting.push(job);
        this.waiting.sort((left, right) => tierOf(left) - tierOf(right) || deadlineOf(left) - deadlineOf(right));
        this.place();
    }

    private place(): void {
        for (const job of this.waiting.slice(0, maxJobsPerPass)) {
            if (job.firstTokenMs === undefined && deadlineOf(job) < this.world.loop.nowMs) {
                this.removeWaiting(job);
                this.world.finish(job, "refused");
                continue;
            }
            const placement = this.bestPlacementFor(job);
            if (placement !== undefined) {
                this.removeWaiting(job);
                this.send(job, placement.engine);
            }
        }
    }

    private removeWaiting(job: Job): void {
        this.waiting = this.waiting.filter(other => other !== job);
    }

    private send(job: Job, engine: EngineFake): void {
        this.world.open(job, engine, tierOf(job), () => this.world.receive(job), result => {
            if (result === "completed") {
                this.world.finish(job, "done");
            }
            else if (job.sends >= maxSends) {
                this.world.finish(job, "failed");
            }
            else {
                job.restarts += job.receivedTokens > 0 ? 1 : 0;
                this.waiting.unshift(job);
            }
            this.place();
        });
        engine.callsInTransit++;
        this.world.loop.after(2 * engineProfile.oneWayDelayMs, () => {
            engine.callsInTransit--;
        });
    }

    private bestPlacementFor(job: Job): Placement | undefined {
        const remainingMs = job.firstTokenMs === undefined ? deadlineOf(job) - this.world.loop.nowMs : Infinity;
        const placements = this.world.engines
            .filter(engine => !engine.isDown && this.world.isConnected(job.zone, engine.zone) && hasRoom(engine, job))
            .map(engine => predictPlacement(engine, job));
        const inTime = placements.filter(placement => placement.firstTokenMs <= remainingMs);
        return inTime.sort((left, right) => left.finishMs - right.finishMs)[0];
    }
}

/** Ignores calls of lower tiers in the batch, because the engine pauses them. For tiers below the top, it limits the pending prefill so that an engine prefills one long prompt at a time. */
function hasRoom(engine: EngineFake, job: Job): boolean {
    const tier = tierOf(job);
    const sameOrHigherTierCalls = engine.calls.filter(call => tierOf(call.job) <= tier).length;
    if (
        sameOrHigherTierCalls + engine.callsInTransit >= engineProfile.maxBatch ||
        engine.load + engine.callsInTransit >= engineProfile.maxBatch + maxPausedCalls
    ) {
        return false;
    }
    return tier === 0 || engine.pendingPrefillTokens < 2 * engineProfile.prefillChunkTokens;
}

function predictPlacement(engine: EngineFake, job: Job): Placement {
    const { stepBaseMs, stepPerRequestMs, prefillMsPerToken, prefillChunkTokens } = engineProfile;
    const stepMs = stepBaseMs + (engine.load + engine.callsInTransit + 1) * stepPerRequestMs;
    const ownPrefillTokens = Math.max(1, job.promptTokens - engine.cachedTokens(job.prefixHashes) + job.receivedTokens);
    const prefillTokensAhead = engine.pendingPrefillTokensAhead(tierOf(job));
    const steps = Math.ceil((ownPrefillTokens + prefillTokensAhead) / prefillChunkTokens);
    const prefillMs = (steps + 1) * stepMs + (ownPrefillTokens + prefillTokensAhead) * prefillMsPerToken;
    const decodeMs = (job.outputTokens - job.receivedTokens) * stepMs + engine.pendingPrefillTokens * prefillMsPerToken;
    const firstTokenMs = prefillMs * engine.slowdownFactor;
    return { engine, firstTokenMs, finishMs: firstTokenMs + decodeMs * engine.slowdownFactor };
}

function tierOf(job: Job): number {
    return job.jobClass.serviceClass.tier;
}

function deadlineOf(job: Job): number {
    return job.arrivalMs + job.jobClass.serviceClass.firstTokenTargetMs;
}
