import type { EngineFake } from "./EngineFake.js";
import { engineProfile } from "./engineProfile.js";
import type { Job } from "./Job.js";
import type { Policy } from "./Policy.js";
import type { World } from "./World.js";

const maxSends = 4;
/** Waiting jobs that are looked at in one go. */
const maxLookedAt = 64;
/** Most calls that an engine is made to pause. */
const maxPaused = 8;

interface Placement {
    readonly engine: EngineFake;
    readonly firstTokenMs: number;
    readonly finishMs: number;
}

/**
 * The reference: one queue without message delay that knows every length, the state inside each engine and the slow-downs as they are.
 * It keeps the tiers, drops what can no longer attain its target, and gives each job the engine that finishes it first.
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
        for (const job of this.waiting.slice(0, maxLookedAt)) {
            if (job.firstTokenMs === undefined && deadlineOf(job) < this.world.loop.nowMs) {
                this.take(job);
                this.world.finish(job, "refused");
                continue;
            }
            const placement = this.bestFor(job);
            if (placement !== undefined) {
                this.take(job);
                this.send(job, placement.engine);
            }
        }
    }

    private take(job: Job): void {
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
        engine.expected++;
        this.world.loop.after(2 * engineProfile.hopMs, () => {
            engine.expected--;
        });
    }

    private bestFor(job: Job): Placement | undefined {
        const leftMs = job.firstTokenMs === undefined ? deadlineOf(job) - this.world.loop.nowMs : Infinity;
        const placements = this.world.engines
            .filter(engine => !engine.isDown && this.world.isConnected(job.zone, engine.zone) && hasRoom(engine, job))
            .map(engine => predict(engine, job));
        const inTime = placements.filter(placement => placement.firstTokenMs <= leftMs);
        return inTime.sort((left, right) => left.finishMs - right.finishMs)[0];
    }
}

/** A job of a tier may take the place of lower ones, which the engine pauses; one long prompt is read at a time. */
function hasRoom(engine: EngineFake, job: Job): boolean {
    const tier = tierOf(job);
    const mine = engine.calls.filter(call => tierOf(call.job) <= tier).length;
    if (mine + engine.expected >= engineProfile.maxBatch || engine.load + engine.expected >= engineProfile.maxBatch + maxPaused) {
        return false;
    }
    return tier === 0 || engine.unreadTokens < 2 * engineProfile.prefillChunkTokens;
}

function predict(engine: EngineFake, job: Job): Placement {
    const { stepBaseMs, stepPerRequestMs, prefillMsPerToken, prefillChunkTokens } = engineProfile;
    const stepMs = stepBaseMs + (engine.load + engine.expected + 1) * stepPerRequestMs;
    const ownTokens = Math.max(1, job.promptTokens - engine.cachedTokens(job.prefixHashes) + job.receivedTokens);
    const aheadTokens = engine.unreadTokensAhead(tierOf(job));
    const steps = Math.ceil((ownTokens + aheadTokens) / prefillChunkTokens);
    const readMs = (steps + 1) * stepMs + (ownTokens + aheadTokens) * prefillMsPerToken;
    const writeMs = (job.outputTokens - job.receivedTokens) * stepMs + engine.unreadTokens * prefillMsPerToken;
    const firstTokenMs = readMs * engine.slowFactor;
    return { engine, firstTokenMs, finishMs: firstTokenMs + writeMs * engine.slowFactor };
}

function tierOf(job: Job): number {
    return job.jobClass.serviceClass.tier;
}

function deadlineOf(job: Job): number {
    return job.arrivalMs + job.jobClass.serviceClass.firstTokenTargetMs;
}
