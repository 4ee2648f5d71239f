import type { EngineCall } from "./EngineCall.js";
import type { EngineFake } from "./EngineFake.js";
import type { Job } from "./Job.js";
import type { Policy } from "./Policy.js";
import type { World } from "./World.js";

const maxSends = 4;
const retryDelayMs = 50;

/** Sends each job at once to the engine that `choose` names, in order of arrival; the caller gives up at its class's bound. */
export class BaselinePolicy implements Policy {
    readonly controlBytes = 0;
    readonly violations: readonly string[] = [];

    constructor(
        private readonly world: World,
        private readonly choose: (engines: readonly EngineFake[], job: Job) => EngineFake | undefined,
    ) {
        world.onCut(() => undefined);
    }

    arrive(job: Job): void {
        this.send(job);
    }

    private send(job: Job): void {
        const reachable = this.world.engines.filter(engine => this.world.isConnected(job.zone, engine.zone));
        const engine = this.choose(reachable, job);
        if (engine === undefined || job.sends >= maxSends) {
            this.world.finish(job, "failed");
            return;
        }
        const call = this.world.open(job, engine, 0, () => this.world.receive(job), result => this.ended(job, result));
        this.giveUpLater(job, call, engine);
    }

    private ended(job: Job, result: "completed" | "broken"): void {
        if (result === "completed") {
            this.world.finish(job, "done");
            return;
        }
        job.restarts += job.receivedTokens > 0 ? 1 : 0;
        this.world.loop.after(retryDelayMs, () => this.send(job));
    }

    private giveUpLater(job: Job, call: EngineCall, engine: EngineFake): void {
        const leftMs = job.arrivalMs + job.jobClass.serviceClass.maxQueueMs - this.world.loop.nowMs;
        this.world.loop.after(leftMs, () => {
            if (job.outcome === "open" && job.firstTokenMs === undefined) {
                this.world.cancel(call, engine);
                this.world.finish(job, "refused");
            }
        });
    }
}
