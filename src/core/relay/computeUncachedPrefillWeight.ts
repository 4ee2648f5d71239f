/** Weight on engines that are all busy: prefilling a shared part again there delays every prompt that follows. */
const maxWeight = 20;
/** Weight on idle engines: a little above 1, as the part also takes the place of another one in the prefix cache. */
const minWeight = 1.3;
/**
 * Mean pending prefill of the engines from which the weight is the largest. Of 150, 300, 600, 900 and 1,300 ms, 600 served long prompts best
 * over all example workloads.
 */
const busyPrefillMs = 600;

/**
 * Weight of prefilling a shared part again, against waiting for an engine that caches it, by the mean pending prefill of the engines. Load
 * answered: bursts of long prompts that some engines cannot follow while others have time to spare.
 */
export function computeUncachedPrefillWeight(meanPendingPrefillMs: number): number {
    return Math.min(maxWeight, minWeight + (maxWeight - minWeight) * (meanPendingPrefillMs / busyPrefillMs) ** 2);
}
