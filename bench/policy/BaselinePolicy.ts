import type { EngineCall } from "./EngineCall.js";
import type { EngineFake } from "./EngineFake.js";
import type { Job } from "./Job.js";
import type { Policy } from "./Policy.js";
import type { World } from "./World.js";

const maxSends = 4;
const retryDelayMs = 50;

/** What a VM knows of an engine when it chooses by itself. */
type LoadOf = (engine: EngineFake) => number;

/** Sends each job at once to the engine that `choose` names; the caller gives up at its class's bound. */
export class BaselinePolicy implements Policy {
    readonly controlBytes = 0;
    readonly violations: readonly string[] = [];
    /** Calls in flight by VM and engine. */
    private readonly ownCalls = new Map<string, number>();
    private arrivals = 0;

    /** `loadOf` gives an engine's last report with the VM's own calls there; `priorityOf` is what the engine is told, first come if equal. */
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
        this.addOwn(vm, engine, 1);
        const call = this.world.open(job, engine, this.priorityOf(job), () => this.world.receive(job), result => {
            this.addOwn(vm, engine, -1);
            this.ended(job, vm, result);
        });
        this.giveUpLater(job, vm, call, engine);
    }

    private ownCallsOf(vm: number, engine: EngineFake): number {
        return this.ownCalls.get(`${vm}/${engine.id}`) ?? 0;
    }

    private addOwn(vm: number, engine: EngineFake, change: 1 | -1): void {
        this.ownCalls.set(`${vm}/${engine.id}`, this.ownCallsOf(vm, engine) + change);
    }

    private ended(job: Job, vm: number, result: "completed" | "broken"): void {
        if (result === "completed") {
            this.world.finish(job, "done");
            return;
        }
        job.restarts += job.receivedTokens > 0 ? 1 : 0;
        this.world.loop.after(retryDelayMs, () => this.send(job, vm));
    }

    private giveUpLater(job: Job, vm: number, call: EngineCall, engine: EngineFake): void {
        const leftMs = job.arrivalMs + job.jobClass.serviceClass.maxQueueMs - this.world.loop.nowMs;
        this.world.loop.after(leftMs, () => {
            if (job.outcome === "open" && job.firstTokenMs === undefined) {
                this.world.cancel(call, engine);
                this.addOwn(vm, engine, -1);
                this.world.finish(job, "refused");
            }
        });
    }
}
