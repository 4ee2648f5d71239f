import { engineProfile } from "./engineProfile.js";
import type { Job } from "./Job.js";
import type { JobClass } from "./JobClass.js";
import type { Workload } from "./Workload.js";

const customerCount = 10;
/** Share of prompt tokens assumed to hit the prefix cache in classes with shared documents; used only to compute the capacity. */
const assumedCacheHitShare = 0.3;

/** Generates Poisson arrivals of all classes over the duration of the workload, in order of arrival. */
export function generateJobs(workload: Workload, random: () => number): readonly Job[] {
    const perMs = arrivalsPerMsAtFullLoad(workload);
    const jobs = workload.classes.flatMap(jobClass => generateArrivals(workload, jobClass, perMs, random));
    return jobs.sort((left, right) => left.arrivalMs - right.arrivalMs);
}

function generateArrivals(workload: Workload, jobClass: JobClass, perMs: number, random: () => number): Job[] {
    const peakPerMs = perMs * jobClass.requestShare * Math.max(1, ...workload.swings.map(swing => swingLoad(workload, swing, jobClass)));
    const jobs: Job[] = [];
    for (let atMs = sampleIntervalMs(peakPerMs, random); atMs < workload.durationMs; atMs += sampleIntervalMs(peakPerMs, random)) {
        const ratePerMs = perMs * jobClass.requestShare * loadAt(workload, jobClass, atMs);
        if (random() * peakPerMs < ratePerMs) {
            jobs.push(createJob(workload, jobClass, `${jobClass.serviceClass.name}-${jobs.length}`, atMs, random));
        }
    }
    return jobs;
}

function createJob(workload: Workload, jobClass: JobClass, id: string, arrivalMs: number, random: () => number): Job {
    const customer = Math.floor(customerCount * random() ** 2);
    const lengthFactor = 0.7 + 0.6 * customer / customerCount;
    const outputTokens = Math.round(sampleLogNormal(jobClass.outputMedian * lengthFactor, jobClass.outputSpread, random));
    const promptTokens = Math.max(16, Math.round(sampleLogNormal(jobClass.promptMedian, jobClass.promptSpread, random)));
    return {
        id,
        jobClass,
        customer: `customer-${customer}`,
        arrivalMs,
        zone: workload.zones[Math.floor(random() * workload.zones.length)] as string,
        promptTokens,
        outputTokens: Math.max(1, Math.min(jobClass.maxOutputTokens, outputTokens)),
        prefixHashes: prefixOf(jobClass, promptTokens, random),
        isPeak: workload.swings.some(swing => swing.fromMs <= arrivalMs && arrivalMs < swing.toMs),
        receivedTokens: 0,
        firstTokenMs: undefined,
        lastTokenMs: 0,
        endMs: undefined,
        outcome: "open",
        restarts: 0,
        sends: 0,
    };
}

/** Returns the prefix hashes of a prompt. Four fifths of a prompt with a shared document are the common prefix, up to 64 blocks. */
function prefixOf(jobClass: JobClass, promptTokens: number, random: () => number): readonly number[] {
    if (jobClass.sharedDocuments === 0) {
        return [];
    }
    const document = Math.floor(jobClass.sharedDocuments * random() ** 2);
    const blocks = Math.min(64, Math.floor(promptTokens * 0.8 / engineProfile.blockTokens));
    return [...Array(blocks).keys()].map(block => (jobClass.serviceClass.tier + 1) * 1_000_000 + document * 1_000 + block);
}

/** Returns the requests per millisecond of the base mix that keep full batches on all engines busy. */
function arrivalsPerMsAtFullLoad(workload: Workload): number {
    const { maxBatch, stepBaseMs, stepPerRequestMs, prefillMsPerToken } = engineProfile;
    const msPerOutputToken = (stepBaseMs + maxBatch * stepPerRequestMs) / maxBatch;
    let meanMs = 0;
    let shares = 0;
    for (const jobClass of workload.classes) {
        const cachedShare = jobClass.sharedDocuments > 0 ? assumedCacheHitShare : 0;
        const promptTokens = jobClass.promptMedian * Math.exp(jobClass.promptSpread ** 2 / 2) * (1 - cachedShare);
        const outputTokens = Math.min(jobClass.maxOutputTokens, jobClass.outputMedian * Math.exp(jobClass.outputSpread ** 2 / 2));
        meanMs += jobClass.requestShare * (outputTokens * msPerOutputToken + promptTokens * prefillMsPerToken);
        shares += jobClass.requestShare;
    }
    return workload.engineCount * shares / meanMs;
}

function loadAt(workload: Workload, jobClass: JobClass, atMs: number): number {
    const swing = workload.swings.find(candidate => candidate.fromMs <= atMs && atMs < candidate.toMs);
    return swing === undefined ? workload.baseLoad : swingLoad(workload, swing, jobClass);
}

/** Returns the load of a class during a swing. With `onlyClass`, `load` applies to that class and the others stay at the base load. */
function swingLoad(workload: Workload, swing: Workload["swings"][number], jobClass: JobClass): number {
    return swing.onlyClass === undefined || swing.onlyClass === jobClass.serviceClass.name ? swing.load : workload.baseLoad;
}

function sampleIntervalMs(perMs: number, random: () => number): number {
    return -Math.log(1 - random()) / perMs;
}

function sampleLogNormal(median: number, spread: number, random: () => number): number {
    const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
    return median * Math.exp(spread * normal);
}
