import { defaultDispatchOptions } from "../../src/core/dispatch/defaultDispatchOptions.js";
import type { DispatchOptions } from "../../src/core/dispatch/DispatchOptions.js";
import { BaselinePolicy } from "./BaselinePolicy.js";
import { ClairvoyantPolicy } from "./ClairvoyantPolicy.js";
import { DispatchPolicy } from "./DispatchPolicy.js";
import type { EngineFake } from "./EngineFake.js";
import type { Policy } from "./Policy.js";
import type { World } from "./World.js";

type PolicyFactory = (world: World, random: () => number) => Policy;

function dispatchWith(options: Partial<DispatchOptions>, maxShardEngines?: number): PolicyFactory {
    return (world, random) => new DispatchPolicy(world, { ...defaultDispatchOptions, ...options }, random, maxShardEngines);
}

function randomChoice(engines: readonly EngineFake[], random: () => number): EngineFake | undefined {
    return engines[Math.floor(random() * engines.length)];
}

function roundRobin(): (engines: readonly EngineFake[]) => EngineFake | undefined {
    let next = 0;
    return engines => engines[next++ % Math.max(1, engines.length)];
}

/** Chooses the engine with the lowest reported load; ties go to the first one from a random start. */
function leastReported(random: () => number): (engines: readonly EngineFake[]) => EngineFake | undefined {
    return engines => {
        const start = Math.floor(random() * engines.length);
        const rotated = [...engines.slice(start), ...engines.slice(0, start)];
        return rotated.sort((left, right) => left.reportedLoad - right.reportedLoad)[0];
    };
}

/** Chooses the less loaded of two random engines, by the last reported load plus this VM's own calls. */
function powerOfTwo(
    random: () => number,
): (engines: readonly EngineFake[], loadOf: (engine: EngineFake) => number) => EngineFake | undefined {
    return (engines, loadOf) => {
        const first = randomChoice(engines, random);
        const second = randomChoice(engines, random);
        return first !== undefined && second !== undefined && loadOf(second) < loadOf(first) ? second : first;
    };
}

/** Every policy that the benchmark compares, by name. Those after `direct` disable or change one part of the `orioleshelf` policy. */
export const policies: ReadonlyMap<string, PolicyFactory> = new Map<string, PolicyFactory>([
    ["random", (world, random) => new BaselinePolicy(world, engines => randomChoice(engines, random))],
    ["round-robin", world => new BaselinePolicy(world, roundRobin())],
    ["least-reported", (world, random) => new BaselinePolicy(world, leastReported(random))],
    ["power-of-two", (world, random) => new BaselinePolicy(world, powerOfTwo(random))],
    ["clairvoyant", world => new ClairvoyantPolicy(world)],
    ["orioleshelf", dispatchWith({})],
    ["direct", (world, random) => new BaselinePolicy(world, powerOfTwo(random), job => job.jobClass.serviceClass.tier)],
    ["fifo-in-tier", dispatchWith({ order: "arrival" })],
    ["no-preemption", dispatchWith({ isPreemptionEnabled: false })],
    ["no-pausing", dispatchWith({ maxOversubscribedRequests: 0 })],
    ["no-short-slots", dispatchWith({ reservedShortSlotShare: 0 })],
    ["no-gap-budget", dispatchWith({ gapBudgetShare: Infinity })],
    ["no-health", dispatchWith({ isOutlierDetectionEnabled: false, isMigrationEnabled: false })],
    ["hedging", dispatchWith({ hedgeShare: 0.02 })],
    ["shards-of-4", dispatchWith({}, 4)],
    ["shards-of-8", dispatchWith({}, 8)],
]);
