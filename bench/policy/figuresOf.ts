import type { ServiceClass } from "../../src/schema/config/ServiceClass.js";
import { engineProfile } from "./engineProfile.js";
import type { Job } from "./Job.js";
import type { Policy } from "./Policy.js";
import type { RunFigures } from "./RunFigures.js";
import type { Workload } from "./Workload.js";
import type { World } from "./World.js";

/** Computes the figures of a finished run. */
export function figuresOf(policyName: string, seed: number, world: World, policy: Policy, jobs: readonly Job[]): RunFigures {
    const { workload } = world;
    const firstTokens = sortAscending(jobs.filter(job => job.jobClass.isShort).map(firstTokenMsOf));
    const waits = sortAscending(
        jobs.filter(job => job.jobClass.isShort).map(job => Math.max(0, firstTokenMsOf(job) - idleFirstTokenMs(job))),
    );
    const gaps = sortAscending(jobs.filter(job => job.jobClass.isShort && job.outcome === "done" && job.outputTokens > 1).map(meanGapMs));
    const goodTokens = jobs.filter(attains).reduce((sum, job) => sum + job.outputTokens, 0);
    const longJobs = jobs.filter(job => job.jobClass.isLong && job.outcome !== "refused");
    return {
        workload: workload.name,
        policy: policyName,
        seed,
        attainment: attainmentByClass(jobs),
        peakAttainment: attainmentByClass(jobs.filter(job => job.isPeak)),
        topTierClasses: workload.classes.map(jobClass => jobClass.serviceClass).filter(isTopTier).map(serviceClass => serviceClass.name),
        topTierWorstSwing: lowestSwingAttainment(workload, jobs),
        shortFirstTokenP50Ms: quantile(firstTokens, 0.5),
        shortFirstTokenP99Ms: quantile(firstTokens, 0.99),
        shortWaitP99Ms: quantile(waits, 0.99),
        shortGapP99Ms: quantile(gaps, 0.99),
        goodputTokensPerSecond: goodTokens / (workload.durationMs / 1_000),
        wastedShare: world.workedTokens === 0 ? 0 : world.wastedTokens / world.workedTokens,
        longRedoneShare: share(longJobs, job => job.restarts > 0 || job.outcome === "failed"),
        refusedShare: share(jobs, job => job.outcome === "refused"),
        failedShare: share(jobs, job => job.outcome === "failed" || job.outcome === "open"),
        controlBytesPerVmSecond: policy.controlBytes / workload.vmCount / (workload.durationMs / 1_000),
        controlBytesPerRequest: policy.controlBytes / Math.max(1, jobs.length),
        violations: policy.violations,
    };
}

/** Returns the lowest top-tier attainment over the swings in which top-tier demand alone fits the capacity. */
function lowestSwingAttainment(workload: Workload, jobs: readonly Job[]): number | undefined {
    const shares = workload.swings.filter(swing => swing.exceedsTopTier !== true).map(swing =>
        share(
            jobs.filter(job => isTopTier(job.jobClass.serviceClass) && swing.fromMs <= job.arrivalMs && job.arrivalMs < swing.toMs),
            attains,
        )
    );
    return shares.length === 0 ? undefined : Math.min(...shares);
}

function isTopTier(serviceClass: ServiceClass): boolean {
    return serviceClass.tier === 0;
}

function attains(job: Job): boolean {
    const { firstTokenTargetMs, tokenGapTargetMs } = job.jobClass.serviceClass;
    if (job.outcome !== "done" || firstTokenMsOf(job) > firstTokenTargetMs) {
        return false;
    }
    return job.outputTokens < 2 || meanGapMs(job) <= tokenGapTargetMs;
}

function meanGapMs(job: Job): number {
    return (job.lastTokenMs - job.arrivalMs - firstTokenMsOf(job)) / (job.outputTokens - 1);
}

/** Returns the time to first token in ms; a request without a token counts with the `maxQueueMs` of its class. */
function firstTokenMsOf(job: Job): number {
    return job.firstTokenMs ?? job.jobClass.serviceClass.maxQueueMs;
}

function idleFirstTokenMs(job: Job): number {
    const { stepBaseMs, stepPerRequestMs, prefillMsPerToken, prefillChunkTokens, oneWayDelayMs } = engineProfile;
    const steps = Math.ceil(job.promptTokens / prefillChunkTokens);
    return 2 * oneWayDelayMs + steps * stepBaseMs + job.promptTokens * prefillMsPerToken + stepBaseMs + stepPerRequestMs;
}

function attainmentByClass(jobs: readonly Job[]): Record<string, number> {
    const groups = Map.groupBy(jobs, job => job.jobClass.serviceClass.name);
    return Object.fromEntries([...groups].map(([name, group]) => [name, share(group, attains)]));
}

function share(jobs: readonly Job[], predicate: (job: Job) => boolean): number {
    return jobs.length === 0 ? 0 : jobs.filter(predicate).length / jobs.length;
}

function sortAscending(values: readonly number[]): readonly number[] {
    return [...values].sort((left, right) => left - right);
}

function quantile(values: readonly number[], fraction: number): number {
    return values[Math.min(values.length - 1, Math.floor(values.length * fraction))] ?? 0;
}
