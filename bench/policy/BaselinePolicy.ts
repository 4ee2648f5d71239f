import type { EngineCall } from "./EngineCall.js";
import type { EngineFake } from "./EngineFake.js";
import type { Job } from "./Job.js";
import type { Policy } from "./Policy.js";
import type { World } from "./World.js";

const maxSends = 4;
const retryDelayMs = 50;

/** Returns the load of an engine as known to the VM that chooses. */
type LoadOf = (engine: EngineFake) => number;

/** Sends each job immediately to the engine that `choose` selects. A job without a first token is refused after its class's `maxQueueMs`. */
export class BaselinePolicy implements Policy {
    readonly controlBytes = 0;
    readonly violations: readonly string[] = [];
    /** In-flight calls by VM and engine. */
    private readonly ownCalls = new Map<string, number>();
    private arrivals = 0;

    /** `loadOf` returns an engine's last reported load plus the VM's own in-flight calls; `priorityOf` returns the priority sent to the engine, which serves equal priorities in order of arrival. */
    constructor(
        private readonly world: World,
        private readonly choose: (engines: readonly EngineFake[], loadOf: LoadOf) => EngineFake | undefined,
        private readonly priorityOf: (job: Job) => number = () => 0,
    ) {}

    arrive(job: Job): void {
        this.send(job, this.arrivals++ % this.world.workload.vmCount);
    }

    private send(job: Job, vm: number): void {
        const reachable = this.world.engines.filter(engine => this.world.isConnected(job.zone, engine.zone));
        const engine = this.choose(reachable, candidate => candidate.reportedLoad + this.ownCallsOf(vm, candidate));
        if (engine === undefined || job.sends >= maxSends) {
            this.world.finish(job, "failed");
            return;
        }
        this.addOwnCalls(vm, engine, 1);
        const call = this.world.open(job, engine, this.priorityOf(job), () => this.world.receive(job), result => {
            this.addOwnCalls(vm, engine, -1);
            this.handleEnd(job, vm, result);
        });
        this.scheduleTimeout(job, vm, call, engine);
    }

    private ownCallsOf(vm: number, engine: EngineFake): number {
        return this.ownCalls.get(`${vm}/${engine.id}`) ?? 0;
    }

    private addOwnCalls(vm: number, engine: EngineFake, delta: 1 | -1): void {
        this.ownCalls.set(`${vm}/${engine.id}`, this.ownCallsOf(vm, engine) + delta);
    }

    private handleEnd(job: Job, vm: number, result: "completed" | "broken"): void {
        if (result === "completed") {
            this.world.finish(job, "done");
            return;
        }
        job.restarts += job.receivedTokens > 0 ? 1 : 0;
        this.world.loop.after(retryDelayMs, () => this.send(job, vm));
    }

    private scheduleTimeout(job: Job, vm: number, call: EngineCall, engine: EngineFake): void {
        const remainingMs = job.arrivalMs + job.jobClass.serviceClass.maxQueueMs - this.world.loop.nowMs;
        this.world.loop.after(remainingMs, () => {
            if (job.outcome === "open" && job.firstTokenMs === undefined) {
                this.world.cancel(call, engine);
                this.addOwnCalls(vm, engine, -1);
                this.world.finish(job, "refused");
            }
        });
    }
}
