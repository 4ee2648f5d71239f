import { createSeededRandom } from "../../util/createSeededRandom.js";
import { VirtualScheduler } from "../../util/VirtualScheduler.js";
import { AdmissionPolicy } from "../AdmissionPolicy.js";
import { EnginePlacer } from "../EnginePlacer.js";
import { UpstreamLoadTracker } from "../UpstreamLoadTracker.js";
import type { CompetingWorkload } from "./CompetingWorkload.js";
import { exampleCall } from "./exampleCall.js";
import { exampleRoute } from "./exampleRoute.js";
import { exampleUpstream } from "./exampleUpstream.js";
import { SimulatedEngine } from "./SimulatedEngine.js";

/** How the calls of one kind or group ended, counted once for each call whatever its caller repeated. */
interface CallerTotals {
    count: number;
    onTime: number;
    late: number;
    /** Streams given up by their callers at the time limit. */
    cut: number;
    refused: number;
    /** Refused attempts, repeated ones included. */
    refusals: number;
}

interface CompetingResult {
    readonly long: CallerTotals;
    readonly short: CallerTotals;
    /** Calls that began while one customer was hot. */
    readonly hotCustomer: CallerTotals;
    readonly otherCustomers: CallerTotals;
    /** Value of the calls on time, and half of that of the late ones, as a share of all. */
    readonly benefitShare: number;
}

const tickMs = 5;
const customerCount = 24;
const zipfExponent = 1.2;
/** Callers that repeat a refused call at once, this often. */
const impatientShare = 0.2;
const maxImpatientRepeats = 3;
/** The news of an event or end reaches the placement VM after up to this long: the interval of its load reports. */
const reportDelayMs = 150;
/** Engines are slow in this share of the phases of this length, as in `simulateEngineWorkload`. */
const slowdownShare = 0.15;
const slowdownPhaseMs = 600;

/** Simulates callers of several customers whose calls one placement VM places on engines, and who give up, retry and repeat calls. */
export function simulateCompetingCallers(workload: CompetingWorkload, hasAdmission: boolean): CompetingResult {
    const { signal } = new AbortController();
    const random = createSeededRandom(workload.seed);
    const placementRandom = createSeededRandom(workload.seed + 1_000);
    const scheduler = new VirtualScheduler();
    const phaseCount = Math.ceil(workload.durationMs / slowdownPhaseMs) + 10;
    const engines = Array.from({ length: workload.engineCount }, () => {
        const factors = Array.from({ length: phaseCount }, () => random() < slowdownShare ? workload.slowdownFactor : 1);
        return new SimulatedEngine({ ...workload.engine, slowdownFactor: nowMs => factors[Math.floor(nowMs / slowdownPhaseMs)] ?? 1 });
    });
    const upstreams = [...engines.keys()].map(index =>
        exampleUpstream(`engine-${index}`, { slots: workload.engine.slots, availabilityZone: `z${index % 3}` })
    );
    const loadTracker = new UpstreamLoadTracker();
    const placer = new EnginePlacer(loadTracker, placementRandom, hasAdmission);
    const policy = new AdmissionPolicy({ loadTracker, random: placementRandom, placesAllCalls: () => true });
    const [long, short, hotCustomer, otherCustomers] = [createTotals(), createTotals(), createTotals(), createTotals()];
    let offeredValue = 0;
    let earnedValue = 0;
    const weights = [...Array(customerCount).keys()].map(index => (index + 1) ** -zipfExponent);

    const sendCall = (kind: "long" | "short", customer: number) => {
        const { prompt, subjectCount, targetMs, gapTargetMs, timeLimitMs, callValue, tier } = workload[kind];
        const beganMs = scheduler.nowMs();
        const parts = [
            { id: `${kind}-common-${Math.floor(random() * 4)}`, tokens: prompt.commonTokens },
            { id: `${kind}-${Math.floor(random() * subjectCount)}`, tokens: prompt.subjectTokens },
        ];
        const ownTokens = sampleLognormal(random, prompt.ownTokens, prompt.maxOwnTokens);
        const outputTokens = sampleLognormal(random, prompt.outputTokens, prompt.outputTokens * 4);
        const promptTokens = ownTokens + prompt.commonTokens + prompt.subjectTokens;
        const isImpatient = random() < impatientShare;
        const isInHotTime = beganMs >= workload.hot.fromMs && beganMs < workload.hot.untilMs;
        const groups = [
            kind === "long" ? long : short,
            ...isInHotTime ? [customer === workload.hot.customer ? hotCustomer : otherCustomers] : [],
        ];
        for (const group of groups) {
            group.count++;
        }
        offeredValue += callValue;
        const endCall = (end: "onTime" | "late" | "cut" | "refused") => {
            for (const group of groups) {
                group[end]++;
            }
            earnedValue += end === "onTime" ? callValue : end === "late" ? callValue / 2 : 0;
        };
        const route = exampleRoute({ name: kind, kind: "stream", targetMs, gapTargetMs, timeoutMs: timeLimitMs, tier });
        const call = exampleCall({
            prompt: { model: "m", promptTokens, maxOutputTokens: outputTokens, parts: [...parts, { id: "own", tokens: ownTokens }] },
        });
        let repeats = 0;
        const tryCall = (hasRetried: boolean) => {
            const nowMs = scheduler.nowMs();
            const remainingMs = beganMs + timeLimitMs - nowMs;
            const request = { service: "model", call, route, available: upstreams, candidates: upstreams, nowMs };
            const admission = { customer: `customer-${customer}`, rank: tier, remainingMs, mayRefuse: true };
            const placed = placer.place(request);
            const decision = placed && hasAdmission ? policy.decide(request, placed, admission) : placed;
            if (decision === undefined) {
                throw new Error("placer returned no engine although all engines are available");
            }
            if ("refusedFor" in decision) {
                groups.forEach(group => {
                    group.refusals++;
                });
                if (isImpatient && repeats < maxImpatientRepeats) {
                    repeats++;
                    scheduler.after(5, () => {
                        tryCall(hasRetried);
                    }, signal);
                }
                else if (!hasRetried && decision.retryAfterMs <= remainingMs / 3) {
                    scheduler.after(decision.retryAfterMs, () => {
                        tryCall(true);
                    }, signal);
                }
                else {
                    endCall("refused");
                }
                return;
            }
            const { id } = decision.upstream;
            let hadFirstEvent = false;
            const timeout = new AbortController();
            const reportLater = (report: () => void) => {
                scheduler.after(placementRandom() * reportDelayMs, report, signal);
            };
            loadTracker.recordCallStart(id, decision);
            const cancel = engines[upstreams.indexOf(decision.upstream)]?.submit({ parts, ownTokens, outputTokens }, {
                nowMs,
                priority: tier * 5 + Math.min(4, decision.delay),
                onGap: () => undefined,
                onFirst: () => {
                    hadFirstEvent = true;
                    reportLater(() => {
                        loadTracker.recordFirstEvent(id, decision);
                    });
                },
                onEnd: engineCall => {
                    timeout.abort();
                    reportLater(() => {
                        loadTracker.recordCallEnd(id, decision, true);
                    });
                    const firstMs = nowMs - beganMs + (engineCall.firstEventMs ?? Infinity);
                    endCall(firstMs <= targetMs && engineCall.maxGapMs <= gapTargetMs ? "onTime" : "late");
                },
            });
            scheduler.after(remainingMs, () => {
                cancel?.();
                const hadFirst = hadFirstEvent;
                reportLater(() => {
                    loadTracker.recordCallEnd(id, decision, hadFirst);
                });
                endCall("cut");
            }, timeout.signal);
        };
        tryCall(false);
    };

    for (let nowMs = 0; nowMs < workload.durationMs; nowMs += tickMs) {
        for (const engine of engines) {
            engine.advance(nowMs);
        }
        scheduler.advance(nowMs - scheduler.nowMs());
        const isHot = nowMs >= workload.hot.fromMs && nowMs < workload.hot.untilMs;
        const totalWeight = weights.reduce((sum, weight) => sum + weight, 0);
        for (const kind of ["long", "short"] as const) {
            const callsPerTick = nowMs < workload.loadEndMs ? workload[kind].callsPerSecond(nowMs) * tickMs / 1_000 : 0;
            for (const [customer, weight] of weights.entries()) {
                const factor = isHot && customer === workload.hot.customer ? workload.hot.factor : 1;
                for (let count = samplePoisson(random, callsPerTick * weight * factor / totalWeight); count > 0; count--) {
                    sendCall(kind, customer);
                }
            }
        }
    }
    return { long, short, hotCustomer, otherCustomers, benefitShare: earnedValue / offeredValue };
}

function createTotals(): CallerTotals {
    return { count: 0, onTime: 0, late: 0, cut: 0, refused: 0, refusals: 0 };
}

function sampleLognormal(random: () => number, mean: number, max: number): number {
    const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
    return Math.max(1, Math.min(max, Math.round(mean * Math.exp(normal - 0.5))));
}

function samplePoisson(random: () => number, mean: number): number {
    let count = 0;
    for (let product = random(); product > Math.exp(-mean); product *= random()) {
        count++;
    }
    return count;
}
