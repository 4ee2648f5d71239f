import type { RelayRoute } from "../../../schema/relay/RelayRoute.js";
import type { RelayUpstream } from "../../../schema/relay/RelayUpstream.js";
import { createSeededRandom } from "../../util/createSeededRandom.js";
import { VirtualScheduler } from "../../util/VirtualScheduler.js";
import { estimatePrefillMs } from "../estimatePrefillMs.js";
import type { Placement } from "../Placement.js";
import type { PlacementRequest } from "../PlacementRequest.js";
import { UpstreamLoadTracker } from "../UpstreamLoadTracker.js";
import type { EngineWorkload } from "./EngineWorkload.js";
import { exampleCall } from "./exampleCall.js";
import { exampleRoute } from "./exampleRoute.js";
import { exampleUpstream } from "./exampleUpstream.js";
import type { PromptWorkload } from "./PromptWorkload.js";
import { SimulatedEngine } from "./SimulatedEngine.js";

type PlaceCall = (request: PlacementRequest) => Placement | undefined;
type PromptKind = "long" | "short";

/** Creates the placement function of one VM, which uses the load tracker of that VM. */
type PlacerFactory = (loadTracker: UpstreamLoadTracker, random: () => number) => PlaceCall;

interface CallTotals {
    count: number;
    onTime: number;
    offeredValue: number;
    earnedValue: number;
}

interface WorkloadResult {
    /** Share of the long prompts whose first event and every gap between events met their targets. */
    readonly longOnTimeShare: number;
    /** The same for short prompts. */
    readonly shortOnTimeShare: number;
    /** Value earned by calls on time or late, as a share of the value of all calls. */
    readonly goodputShare: number;
    /** The same in the worst window of five seconds. */
    readonly worstGoodputShare: number;
    readonly prefilledTokens: number;
}

const tickMs = 5;
const windowMs = 5_000;
/** Report interval of each VM, which grows with the size of the fleet so that reports do not grow with its square. */
const minReportIntervalMs = 25;
const reportIntervalMsPerVm = 2.5;
/** Share of its value that a late call earns. */
const lateValueShare = 0.1;
/** Share of the mean call value that does not depend on the size of the call. */
const baseValueShare = 0.3;
/** Limit of the value of a large call, as a multiple of the mean call value. */
const maxValueFactor = 4;

/** Simulates several VMs that place long prompts with shared parts and many short streams on engines with occasional slowdowns. */
export function simulateEngineWorkload(workload: EngineWorkload, createPlacer: PlacerFactory, learnsEngineSpeeds = false): WorkloadResult {
    const simulation = new WorkloadSimulation(workload, createPlacer, learnsEngineSpeeds);
    simulation.run();
    return simulation.computeResult();
}

class WorkloadSimulation {
    private readonly random: () => number;
    private readonly scheduler = new VirtualScheduler();
    private readonly engines: readonly SimulatedEngine[];
    private readonly upstreams: readonly RelayUpstream[];
    private readonly loadTrackers: readonly UpstreamLoadTracker[];
    private readonly placers: readonly PlaceCall[];
    private readonly totalsByKind: Record<PromptKind, CallTotals> = { long: createTotals(), short: createTotals() };
    private readonly totalsByWindow: CallTotals[] = [];
    private readonly routes: Record<PromptKind, RelayRoute>;

    constructor(private readonly workload: EngineWorkload, createPlacer: PlacerFactory, learnsEngineSpeeds: boolean) {
        this.random = createSeededRandom(workload.seed);
        this.engines = [...Array(workload.engineCount).keys()].map(index => {
            const phaseFactor = createSlowdownPhases(this.random, workload.durationSeconds);
            const engineFactor = workload.slowdownFactors?.[index % workload.slowdownFactors.length] ?? 1;
            return new SimulatedEngine({ ...workload.engine, slowdownFactor: nowMs => phaseFactor(nowMs) * engineFactor });
        });
        const { zoneCount = 3, enginesPerZoneTurn = 1 } = workload;
        this.upstreams = [...this.engines.keys()].map(index =>
            exampleUpstream(`engine-${index}`, {
                slots: workload.engine.slots,
                availabilityZone: `z${Math.floor(index / enginesPerZoneTurn) % zoneCount}`,
            })
        );
        this.loadTrackers = Array.from({ length: workload.vmCount }, () => new UpstreamLoadTracker({ learnsEngineSpeeds }));
        this.placers = this.loadTrackers.map(loadTracker => createPlacer(loadTracker, this.random));
        this.routes = { long: createRoute("long", workload.long, 1), short: createRoute("short", workload.short, 0) };
    }

    run(): void {
        const { workload, random, scheduler } = this;
        const intervalMs = Math.ceil(Math.max(minReportIntervalMs, workload.vmCount * reportIntervalMsPerVm) / tickMs) * tickMs;
        for (let nowMs = 0; nowMs < workload.durationSeconds * 1_000; nowMs += tickMs) {
            for (const engine of this.engines) {
                engine.advance(nowMs);
            }
            scheduler.advance(nowMs - scheduler.nowMs());
            this.exchangeReports(nowMs, intervalMs);
            for (const kind of ["long", "short"] as const) {
                const expected = workload[kind].callsPerSecond(nowMs) * tickMs / 1_000;
                for (let count = samplePoisson(random, expected); count > 0; count--) {
                    this.sendCall(kind, workload[kind]);
                }
            }
        }
    }

    computeResult(): WorkloadResult {
        const { long, short } = this.totalsByKind;
        return {
            longOnTimeShare: long.onTime / long.count,
            shortOnTimeShare: short.onTime / short.count,
            goodputShare: (long.earnedValue + short.earnedValue) / (long.offeredValue + short.offeredValue),
            worstGoodputShare: Math.min(
                ...this.totalsByWindow.slice(0, -1).map(windowTotals => windowTotals.earnedValue / windowTotals.offeredValue),
            ),
            prefilledTokens: this.engines.reduce((total, engine) => total + engine.prefilledTokens, 0),
        };
    }

    /** Lets every VM report its load changes once per interval, staggered by VM. */
    private exchangeReports(nowMs: number, intervalMs: number): void {
        for (const [from, loadTracker] of this.loadTrackers.entries()) {
            if ((nowMs + from * tickMs) % intervalMs !== 0) {
                continue;
            }
            const report = loadTracker.takeChanges();
            if (report === undefined) {
                continue;
            }
            for (const [to, other] of this.loadTrackers.entries()) {
                if (from !== to) {
                    other.applyReport(`vm-${from}`, report, false, nowMs);
                }
            }
        }
    }

    private sendCall(kind: PromptKind, { subjectCount, hotShare, prompt }: PromptWorkload): void {
        const { random, scheduler, totalsByKind } = this;
        const isHot = random() < (hotShare?.(scheduler.nowMs()) ?? 0);
        const route = this.routes[kind];
        const parts = [
            { id: `${kind}-common-${Math.floor(random() * 4)}`, tokens: Math.round(prompt.commonTokens) },
            { id: `${kind}-${isHot ? 0 : Math.floor(random() * subjectCount)}`, tokens: Math.round(prompt.subjectTokens) },
        ];
        const ownTokens = sampleLognormal(random, prompt.ownTokens, prompt.maxOwnTokens);
        const outputTokens = sampleLognormal(random, prompt.outputTokens, prompt.outputTokens * 4);
        const promptTokens = ownTokens + prompt.commonTokens + prompt.subjectTokens;
        const call = exampleCall({
            prompt: { model: "m", promptTokens, maxOutputTokens: outputTokens, parts: [...parts, { id: "own", tokens: ownTokens }] },
        });
        const vm = this.pickVm();
        const loadTracker = this.loadTrackers[vm] as UpstreamLoadTracker;
        const placement = this.placers[vm]?.({
            service: "model",
            call,
            route,
            available: this.upstreams,
            candidates: this.upstreams,
            nowMs: scheduler.nowMs(),
        });
        if (placement === undefined) {
            throw new Error("placer returned no engine although all engines are available");
        }
        const { id } = placement.upstream;
        const meanSize = prompt.ownTokens + prompt.commonTokens + prompt.subjectTokens + 10 * prompt.outputTokens;
        const size = promptTokens + 10 * outputTokens;
        const value = this.workload[kind].callValue * Math.min(maxValueFactor, baseValueShare + (1 - baseValueShare) * size / meanSize);
        const windowTotals = this.getWindowTotals(scheduler.nowMs());
        const affectedTotals = [totalsByKind[kind], windowTotals];
        for (const callTotals of affectedTotals) {
            callTotals.count++;
            callTotals.offeredValue += value;
        }
        const sentMs = scheduler.nowMs();
        const expectedPrefillMs = estimatePrefillMs(ownTokens, prompt.commonTokens + prompt.subjectTokens);
        let firstMs: number | undefined;
        let previousGapMs: number | undefined;
        loadTracker.recordCallStart(id, placement);
        this.engines[this.upstreams.indexOf(placement.upstream)]?.submit({ parts, ownTokens, outputTokens }, {
            nowMs: scheduler.nowMs(),
            priority: Math.min(9, route.tier + placement.delay),
            onGap: gapMs => {
                loadTracker.eventGaps.recordGap(id, gapMs, scheduler.nowMs());
                if (previousGapMs !== undefined) {
                    loadTracker.engineSpeeds?.recordGap(placement.upstream, kind === "long", previousGapMs, scheduler.nowMs());
                }
                previousGapMs = gapMs;
                if (firstMs !== undefined) {
                    loadTracker.engineSpeeds?.recordFirstEvent(placement.upstream, firstMs, expectedPrefillMs, scheduler.nowMs());
                    firstMs = undefined;
                }
            },
            onFirst: () => {
                loadTracker.recordFirstEvent(id, placement);
                // The engine model calls this at the end of the step, without the delay of the first event.
                if (placement.reason === "cached-prefix" && placement.waitMs === 0) {
                    firstMs = scheduler.nowMs() - sentMs;
                }
            },
            onEnd: engineCall => {
                loadTracker.recordCallEnd(id, placement, true);
                const isOnTime = (engineCall.firstEventMs ?? Infinity) <= route.targetMs &&
                    engineCall.maxGapMs <= (route.gapTargetMs ?? Infinity);
                for (const callTotals of affectedTotals) {
                    callTotals.onTime += isOnTime ? 1 : 0;
                    callTotals.earnedValue += isOnTime ? value : value * lateValueShare;
                }
            },
        });
    }

    /** Picks the VM that a call arrives at; VMs are assigned to zones in rotation. */
    private pickVm(): number {
        const { workload: { zoneLoad, zoneCount = 3 }, random, loadTrackers, scheduler } = this;
        for (;;) {
            const vm = Math.floor(random() * loadTrackers.length);
            if (zoneLoad === undefined || random() * 2 < zoneLoad(vm % zoneCount, scheduler.nowMs())) {
                return vm;
            }
        }
    }

    private getWindowTotals(nowMs: number): CallTotals {
        const index = Math.floor(nowMs / windowMs);
        this.totalsByWindow[index] ??= createTotals();
        return this.totalsByWindow[index];
    }
}

function createTotals(): CallTotals {
    return { count: 0, onTime: 0, offeredValue: 0, earnedValue: 0 };
}

function createRoute(name: string, { targetMs, gapTargetMs, timeoutMs }: PromptWorkload, tier: number): RelayRoute {
    return exampleRoute({ name, kind: "stream", targetMs, gapTargetMs, timeoutMs, tier });
}

/** Slowdown factor over time, in phases of 600 ms: 2.5 in 15 % of them, else 1. */
function createSlowdownPhases(random: () => number, seconds: number): (nowMs: number) => number {
    const phases = Array.from({ length: Math.ceil(seconds / 0.6) + 10 }, () => random() < 0.15 ? 2.5 : 1);
    return nowMs => phases[Math.floor(nowMs / 600)] ?? 1;
}

/** Samples a lognormal distribution with this mean, limited to between 1 and `max`. The deployments specify prompt sizes as skewed. */
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
