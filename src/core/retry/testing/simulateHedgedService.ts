import { createSeededRandom } from "../../util/createSeededRandom.js";
import { VirtualScheduler } from "../../util/VirtualScheduler.js";
import { HedgePolicy } from "../HedgePolicy.js";
import { RetryBudget } from "../RetryBudget.js";

interface HedgedServiceOptions {
    readonly hedgeShare: number;
    readonly seed: number;
    readonly vms: number;
    readonly callsPerSecondPerVm: number;
    /** Share of the attempts that take `slowMs` instead of the usual 40 to 80 ms. */
    readonly slowShare: number;
    readonly slowMs: number;
    readonly upstreams: number;
    readonly slotsPerUpstream: number;
    readonly calls: number;
}

interface HedgedServiceResult {
    readonly p50Ms: number;
    readonly p99Ms: number;
    readonly p999Ms: number;
    /** Attempts beyond one for each call, as a share of the calls. */
    readonly extraAttempts: number;
    /** Slot time used, in milliseconds for each call. */
    readonly workMsPerCall: number;
}

interface SimulatedUpstream {
    readonly slots: number;
    callsInFlight: number;
    readonly queue: (() => void)[];
}

const timeoutMs = 627;
const service = "lookups";
/** Calls before which the distribution is not known yet are left out of the percentiles. */
const warmUpShare = 0.2;

/**
 * Simulates VMs that call a plain service with a few slow answers, on virtual time. An upstream queues what its slots cannot run; the loser of
 * two attempts gives its slot back at once. Each VM knows the loads of all.
 */
export function simulateHedgedService(options: HedgedServiceOptions): HedgedServiceResult {
    const random = createSeededRandom(options.seed);
    const scheduler = new VirtualScheduler();
    const upstreams = Array.from({ length: options.upstreams }, (): SimulatedUpstream => ({
        slots: options.slotsPerUpstream,
        callsInFlight: 0,
        queue: [],
    }));
    const vms = Array.from({ length: options.vms }, () => ({
        policy: new HedgePolicy(scheduler, options.hedgeShare),
        retries: new RetryBudget(scheduler, {
            retriesPerRequest: 0.07,
            initialSavedRetries: 0,
            getShare: () => ({ retriesPerSecond: 0, maxSavedRetries: 1 }),
        }),
    }));
    const latenciesMs: number[] = [];
    let attempts = 0;
    let workMs = 0;

    const startAttempt = (excluded: SimulatedUpstream | undefined, signal: AbortSignal, onAnswer: () => void): SimulatedUpstream => {
        attempts++;
        const upstream = upstreams.filter(candidate => candidate !== excluded)
            .reduce((best, candidate) => candidate.callsInFlight < best.callsInFlight ? candidate : best);
        const durationMs = random() < options.slowShare ? options.slowMs : 40 + 40 * random();
        upstream.callsInFlight++;
        let startedMs: number | undefined;
        const run = () => {
            startedMs = scheduler.nowMs();
            scheduler.after(durationMs, onAnswer, signal);
        };
        signal.addEventListener("abort", () => {
            upstream.callsInFlight--;
            if (startedMs === undefined) {
                upstream.queue.splice(upstream.queue.indexOf(run), 1);
                return;
            }
            workMs += scheduler.nowMs() - startedMs;
            upstream.queue.shift()?.();
        });
        if (upstream.callsInFlight <= upstream.slots) {
            run();
        }
        else {
            upstream.queue.push(run);
        }
        return upstream;
    };

    const startCall = ({ policy, retries }: (typeof vms)[number]) => {
        const arrivedMs = scheduler.nowMs();
        policy.recordCall(service);
        retries.recordFirstAttempt();
        const runs: { readonly sentMs: number; readonly end: AbortController; }[] = [];
        const callEnd = new AbortController();
        const end = (winner: number | undefined) => {
            latenciesMs.push(scheduler.nowMs() - arrivedMs);
            callEnd.abort();
            for (const [index, run] of runs.entries()) {
                // A hedge that loses was not slow; the first attempt that loses was.
                if (index === 0 || index === winner) {
                    policy.recordFirstAnswer(service, "route", scheduler.nowMs() - run.sentMs, 0);
                }
                run.end.abort();
            }
        };
        const start = (excluded?: SimulatedUpstream) => {
            const index = runs.length;
            const run = { sentMs: scheduler.nowMs(), end: new AbortController() };
            runs.push(run);
            return startAttempt(excluded, run.end.signal, () => {
                end(index);
            });
        };
        const first = start();
        scheduler.after(timeoutMs, () => {
            end(undefined);
        }, callEnd.signal);
        const times = policy.findTimes(service, "route", 0);
        if (times !== undefined) {
            scheduler.after(times.delayMs, () => {
                const admission = policy.admit({
                    service,
                    usualMs: times.usualMs,
                    remainingMs: arrivedMs + timeoutMs - scheduler.nowMs(),
                    candidates: upstreams.filter(upstream => upstream !== first),
                    spendRetry: () => retries.trySpendSpare(),
                });
                if (admission === "started") {
                    start(first);
                }
            }, callEnd.signal);
        }
    };

    const callsPerMs = options.vms * options.callsPerSecondPerVm / 1_000;
    for (let call = 0; call < options.calls; call++) {
        scheduler.advance(-Math.log(1 - random()) / callsPerMs);
        startCall(vms[Math.floor(random() * vms.length)] as (typeof vms)[number]);
    }
    scheduler.advance(timeoutMs);
    const sorted = latenciesMs.slice(Math.floor(warmUpShare * latenciesMs.length)).sort((left, right) => left - right);
    const percentile = (share: number) => sorted[Math.ceil(share * sorted.length) - 1] ?? 0;
    return {
        p50Ms: percentile(0.5),
        p99Ms: percentile(0.99),
        p999Ms: percentile(0.999),
        extraAttempts: attempts / options.calls - 1,
        workMsPerCall: workMs / options.calls,
    };
}
