import type { RelayRoute } from "../../../schema/relay/RelayRoute.js";
import type { RelayUpstream } from "../../../schema/relay/RelayUpstream.js";
import { seededRandom } from "../../util/seededRandom.js";
import { VirtualScheduler } from "../../util/VirtualScheduler.js";
import { LoadBoard } from "../LoadBoard.js";
import type { Placement } from "../Placement.js";
import type { PlacementRequest } from "../PlacementRequest.js";
import { EngineModel } from "./EngineModel.js";
import { exampleCall } from "./exampleCall.js";
import { exampleRoute } from "./exampleRoute.js";
import { exampleUpstream } from "./exampleUpstream.js";

type Place = (request: PlacementRequest) => Placement | undefined;

interface EngineLoad {
    readonly seed: number;
    readonly seconds: number;
    readonly engines: number;
    readonly vms: number;
    readonly longPerSecond: number;
    readonly shortPerSecond: number;
    /** Makes the placing of one VM, which sees its own board. */
    readonly placer: (board: LoadBoard, random: () => number) => Place;
}

interface Served {
    /** Share of the long prompts, and of the short ones, with the first event and every pause within their targets. */
    readonly longOnTime: number;
    readonly shortOnTime: number;
    readonly readTokens: number;
}

const tickMs = 5;
const reportMs = 25;
const subjects = 128;
const longRoute = exampleRoute({ name: "long", kind: "stream", targetMs: 600, gapTargetMs: 250, timeoutMs: 5_000 });
const shortRoute = exampleRoute({ name: "short", kind: "stream", targetMs: 300, gapTargetMs: 150, timeoutMs: 15_000, tier: 0 });

/** Plays long prompts with shared parts and many short streams on engines that now and then run slow; several VMs place them. */
export function playEngineLoad(load: EngineLoad): Served {
    const random = seededRandom(load.seed);
    const scheduler = new VirtualScheduler();
    const models = Array.from({ length: load.engines }, () => new EngineModel(slowPhases(random, load.seconds)));
    const upstreams = [...models.keys()].map(index => exampleUpstream(`engine-${index}`, { slots: 64, availabilityZone: `z${index % 3}` }));
    const boards = Array.from({ length: load.vms }, () => new LoadBoard());
    const places = boards.map(board => load.placer(board, random));
    const results = { long: { count: 0, onTime: 0 }, short: { count: 0, onTime: 0 } };
    const send = (kind: "long" | "short") => {
        const vm = Math.floor(random() * load.vms);
        sendOne({ kind, random, upstreams, models, board: boards[vm] as LoadBoard, place: places[vm] as Place, scheduler, results });
    };
    for (let nowMs = 0; nowMs < load.seconds * 1_000; nowMs += tickMs) {
        for (const model of models) {
            model.advance(nowMs);
        }
        scheduler.advance(nowMs - scheduler.nowMs());
        if (nowMs % reportMs === 0) {
            exchange(boards, nowMs);
        }
        for (const [kind, rate] of [["long", load.longPerSecond], ["short", load.shortPerSecond]] as const) {
            if (random() < rate * tickMs / 1_000) {
                send(kind);
            }
        }
    }
    return {
        longOnTime: results.long.onTime / results.long.count,
        shortOnTime: results.short.onTime / results.short.count,
        readTokens: models.reduce((sum, model) => sum + model.readTokens, 0),
    };
}

interface Sending {
    readonly kind: "long" | "short";
    readonly random: () => number;
    readonly upstreams: readonly RelayUpstream[];
    readonly models: readonly EngineModel[];
    readonly board: LoadBoard;
    readonly place: Place;
    readonly scheduler: VirtualScheduler;
    readonly results: Record<"long" | "short", { count: number; onTime: number; }>;
}

function sendOne({ kind, random, upstreams, models, board, place, scheduler, results }: Sending): void {
    const isLong = kind === "long";
    const route: RelayRoute = isLong ? longRoute : shortRoute;
    const prompt = isLong
        ? {
            part: `long-${Math.floor(random() * subjects)}`,
            sharedTokens: 6_300,
            ownTokens: lognormal(random, 2_890, 39_600),
            outputTokens: 52,
        }
        : {
            part: `short-${Math.floor(random() * subjects)}`,
            sharedTokens: 198,
            ownTokens: lognormal(random, 628, 3_310),
            outputTokens: 292,
        };
    const parts = [{ id: prompt.part, tokens: prompt.sharedTokens }, { id: "own", tokens: prompt.ownTokens }];
    const promptTokens = prompt.sharedTokens + prompt.ownTokens;
    const call = exampleCall({ prompt: { model: "m", promptTokens, maxOutputTokens: prompt.outputTokens, parts } });
    const placement = place({ call, route, candidates: upstreams, nowMs: scheduler.nowMs() });
    if (placement === undefined) {
        throw new Error("no engine was chosen though all take calls");
    }
    const { id } = placement.upstream;
    results[kind].count++;
    board.begin(id, placement);
    models[upstreams.findIndex(upstream => upstream.id === id)]?.admit(prompt, {
        nowMs: scheduler.nowMs(),
        urgency: route.tier + placement.delay,
        onFirst: () => {
            board.streamBegan(id, placement);
        },
        onEnd: run => {
            board.end(id, placement, true);
            const isOnTime = (run.firstEventMs ?? Infinity) <= route.targetMs && run.maxGapMs <= (route.gapTargetMs ?? Infinity);
            results[kind].onTime += isOnTime ? 1 : 0;
        },
    });
}

function exchange(boards: readonly LoadBoard[], nowMs: number): void {
    for (const [from, board] of boards.entries()) {
        const report = board.takeReport();
        for (const [to, other] of boards.entries()) {
            if (report !== undefined && from !== to) {
                other.receive(`vm-${from}`, report, false, nowMs);
            }
        }
    }
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
