import { figuresOf } from "./figuresOf.js";
import { generateJobs } from "./generateJobs.js";
import { policies } from "./policies.js";
import type { RunFigures } from "./RunFigures.js";
import { seededRandom } from "./seededRandom.js";
import type { Workload } from "./Workload.js";
import { World } from "./World.js";

/** Time after the last arrival in which running requests may finish. */
const drainMs = 90_000;

/** Runs one workload with one policy on one seed. Every policy gets the same jobs for a seed. */
export function runOnce(workload: Workload, policyName: string, seed: number): RunFigures {
    const jobs = generateJobs(workload, seededRandom(seed));
    const world = new World(workload);
    const policy = policies.get(policyName)?.(world, seededRandom(seed + 1_000_003));
    if (policy === undefined) {
        throw new Error(`Unknown policy "${policyName}"; use one of ${[...policies.keys()].join(", ")}.`);
    }
    for (const job of jobs) {
        world.loop.after(job.arrivalMs, () => policy.arrive(job));
    }
    world.loop.run(workload.durationMs + drainMs);
    return figuresOf(policyName, seed, world, policy, jobs);
}
