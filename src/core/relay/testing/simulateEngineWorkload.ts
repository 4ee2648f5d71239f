import type { RelayRoute } from "../../../schema/relay/RelayRoute.js";
import type { RelayUpstream } from "../../../schema/relay/RelayUpstream.js";
import { createSeededRandom } from "../../util/createSeededRandom.js";
import { VirtualScheduler } from "../../util/VirtualScheduler.js";
import type { Placement } from "../Placement.js";
import type { PlacementRequest } from "../PlacementRequest.js";
import { UpstreamLoadTracker } from "../UpstreamLoadTracker.js";
import type { EngineWorkload } from "./EngineWorkload.js";
import { exampleCall } from "./exampleCall.js";
import { exampleRoute } from "./exampleRoute.js";
import { exampleUpstream } from "./exampleUpstream.js";
import type { PromptWorkload } from "./PromptWorkload.js";
import { SimulatedEngine } from "./SimulatedEngine.js";

type Place = (request: PlacementRequest) => Placement | undefined;
type Kind = "long" | "short";

/** Makes the placing of one VM, which sees its own board. */
type MakePlacer = (board: UpstreamLoadTracker, random: () => number) => Place;

interface KindResult {
    count: number;
    onTime: number;
    owed: number;
    earned: number;
}

interface Served {
    /** Share of the long prompts, and of the short ones, with the first event and every pause within their targets. */
    readonly longOnTimeShare: number;
    readonly shortOnTimeShare: number;
    /** Worth of what was in time or late, of the worth of all. */
    readonly goodputShare: number;
    /** The same in the worst five seconds. */
    readonly worstGoodputShare: number;
    readonly prefilledTokens: number;
}

const tickMs = 5;
const windowMs = 5_000;
/** Reports between VMs become rarer in a larger fleet, as in `LoadExchange`. */
const reportMs = 25;
const reportMsPerVm = 2.5;
/** Of the worth of a call in time, what one that is late earns. */
const lateWorthShare = 0.1;
const baseWorth = 0.3;
const maxSizeWorth = 4;

/** Plays long prompts with shared parts and many short streams on engines that now and then run slow; several VMs place them. */
export function simulateEngineWorkload(load: EngineWorkload, makePlacer: MakePlacer): Served {
    const player = new LoadPlayer(load, makePlacer);
    player.play();
    return player.served();
}

class LoadPlayer {
    private readonly random: () => number;
    private readonly scheduler = new VirtualScheduler();
    private readonly models: readonly SimulatedEngine[];
    private readonly upstreams: readonly RelayUpstream[];
    private readonly boards: readonly UpstreamLoadTracker[];
    private readonly places: readonly Place[];
    private readonly results: Record<Kind, KindResult> = { long: newResult(), short: newResult() };
    private readonly windows: KindResult[] = [];
    private readonly routes: Record<Kind, RelayRoute>;

    constructor(private readonly load: EngineWorkload, makePlacer: MakePlacer) {
        this.random = createSeededRandom(load.seed);
        this.models = [...Array(load.engines).keys()].map(index => {
            const phase = slowPhases(this.random, load.seconds);
            const speed = load.slowdownFactors?.[index % load.slowdownFactors.length] ?? 1;
            return new SimulatedEngine({ ...load.engine, slowdownFactor: nowMs => phase(nowMs) * speed });
        });
        this.upstreams = [...this.models.keys()].map(index =>
            exampleUpstream(`engine-${index}`, { slots: load.engine.slots, availabilityZone: `z${index % 3}` })
        );
        this.boards = Array.from({ length: load.vms }, () => new UpstreamLoadTracker());
        this.places = this.boards.map(board => makePlacer(board, this.random));
        this.routes = { long: routeOf("long", load.long, 1), short: routeOf("short", load.short, 0) };
    }

    play(): void {
        const { load, random, scheduler } = this;
        const periodMs = Math.ceil(Math.max(reportMs, load.vms * reportMsPerVm) / tickMs) * tickMs;
        for (let nowMs = 0; nowMs < load.seconds * 1_000; nowMs += tickMs) {
            for (const model of this.models) {
                model.advance(nowMs);
            }
            scheduler.advance(nowMs - scheduler.nowMs());
            this.exchange(nowMs, periodMs);
            for (const kind of ["long", "short"] as const) {
                const expected = load[kind].callsPerSecond(nowMs) * tickMs / 1_000;
                for (let count = poisson(random, expected); count > 0; count--) {
                    this.send(kind, load[kind]);
                }
            }
        }
    }

    served(): Served {
        const { long, short } = this.results;
        return {
            longOnTimeShare: long.onTime / long.count,
            shortOnTimeShare: short.onTime / short.count,
            goodputShare: (long.earned + short.earned) / (long.owed + short.owed),
            worstGoodputShare: Math.min(...this.windows.slice(0, -1).map(window => window.earned / window.owed)),
            prefilledTokens: this.models.reduce((total, model) => total + model.prefilledTokens, 0),
        };
    }

    /** Every VM reports once a period, each at its own time. */
    private exchange(nowMs: number, periodMs: number): void {
        for (const [from, board] of this.boards.entries()) {
            if ((nowMs + from * tickMs) % periodMs !== 0) {
                continue;
            }
            const report = board.takeChanges();
            if (report === undefined) {
                continue;
            }
            for (const [to, other] of this.boards.entries()) {
                if (from !== to) {
                    other.applyReport(`vm-${from}`, report, false, nowMs);
                }
            }
        }
    }

    private send(kind: Kind, { subjects, hotShare, prompt }: PromptWorkload): void {
        const { random, scheduler, results } = this;
        const isHot = random() < (hotShare?.(scheduler.nowMs()) ?? 0);
        const route = this.routes[kind];
        const parts = [
            { id: `${kind}-common-${Math.floor(random() * 4)}`, tokens: Math.round(prompt.commonTokens) },
            { id: `${kind}-${isHot ? 0 : Math.floor(random() * subjects)}`, tokens: Math.round(prompt.subjectTokens) },
        ];
        const ownTokens = lognormal(random, prompt.ownTokens, prompt.maxOwnTokens);
        const outputTokens = lognormal(random, prompt.outputTokens, prompt.outputTokens * 4);
        const promptTokens = ownTokens + prompt.commonTokens + prompt.subjectTokens;
        const call = exampleCall({
            prompt: { model: "m", promptTokens, maxOutputTokens: outputTokens, parts: [...parts, { id: "own", tokens: ownTokens }] },
        });
        const vm = Math.floor(random() * this.boards.length);
        const board = this.boards[vm] as UpstreamLoadTracker;
        const placement = this.places[vm]?.({
            service: "model",
            call,
            route,
            available: this.upstreams,
            candidates: this.upstreams,
            nowMs: scheduler.nowMs(),
        });
        if (placement === undefined) {
            throw new Error("no engine was chosen though all take calls");
        }
        const { id } = placement.upstream;
        const meanSize = prompt.ownTokens + prompt.commonTokens + prompt.subjectTokens + 10 * prompt.outputTokens;
        const size = promptTokens + 10 * outputTokens;
        const worth = this.load[kind].callValue * Math.min(maxSizeWorth, baseWorth + (1 - baseWorth) * size / meanSize);
        const window = this.windowAt(scheduler.nowMs());
        const counted = [results[kind], window];
        for (const result of counted) {
            result.count++;
            result.owed += worth;
        }
        board.recordCallStart(id, placement);
        this.models[this.upstreams.indexOf(placement.upstream)]?.submit({ parts, ownTokens, outputTokens }, {
            nowMs: scheduler.nowMs(),
            priority: Math.min(9, route.tier + placement.delay),
            onGap: gapMs => {
                board.eventGaps.recordGap(id, gapMs, scheduler.nowMs());
            },
            onFirst: () => {
                board.recordFirstEvent(id, placement);
            },
            onEnd: run => {
                board.recordCallEnd(id, placement, true);
                const isOnTime = (run.firstEventMs ?? Infinity) <= route.targetMs && run.maxGapMs <= (route.gapTargetMs ?? Infinity);
                for (const result of counted) {
                    result.onTime += isOnTime ? 1 : 0;
                    result.earned += isOnTime ? worth : worth * lateWorthShare;
                }
            },
        });
    }

    private windowAt(nowMs: number): KindResult {
        const index = Math.floor(nowMs / windowMs);
        this.windows[index] ??= newResult();
        return this.windows[index];
    }
}

function newResult(): KindResult {
    return { count: 0, onTime: 0, owed: 0, earned: 0 };
}

function routeOf(name: string, { targetMs, gapTargetMs, timeoutMs }: PromptWorkload, tier: number): RelayRoute {
    return exampleRoute({ name, kind: "stream", targetMs, gapTargetMs, timeoutMs, tier });
}

/** Phases of 600 ms, of which 15 in 100 are two and a half times as slow. */
function slowPhases(random: () => number, seconds: number): (nowMs: number) => number {
    const phases = Array.from({ length: Math.ceil(seconds / 0.6) + 10 }, () => random() < 0.15 ? 2.5 : 1);
    return nowMs => phases[Math.floor(nowMs / 600)] ?? 1;
}

/** Sizes of a skewed kind around `mean`, as the sheets of the sites describe prompts. */
function lognormal(random: () => number, mean: number, most: number): number {
    const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
    return Math.max(1, Math.min(most, Math.round(mean * Math.exp(normal - 0.5))));
}

function poisson(random: () => number, mean: number): number {
    let count = 0;
    for (let product = random(); product > Math.exp(-mean); product *= random()) {
        count++;
    }
    return count;
}
