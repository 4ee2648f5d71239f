import { expect } from "earl";
import { test } from "node:test";
import { EnginePlacer } from "./EnginePlacer.js";
import type { Placement } from "./Placement.js";
import type { PlacementRequest } from "./PlacementRequest.js";
import type { EngineWorkload } from "./testing/EngineWorkload.js";
import { exampleCall } from "./testing/exampleCall.js";
import { exampleRoute } from "./testing/exampleRoute.js";
import { exampleUpstream } from "./testing/exampleUpstream.js";
import { exampleWorkloads } from "./testing/exampleWorkloads.js";
import { simulateEngineWorkload } from "./testing/simulateEngineWorkload.js";
import { UpstreamLoadTracker } from "./UpstreamLoadTracker.js";

const engines = [...Array(8).keys()].map(index => exampleUpstream(`engine-${index}`, { slots: 64, availabilityZone: `z${index % 3}` }));
const longRoute = exampleRoute({ name: "long", kind: "stream", targetMs: 600 });
const shortRoute = exampleRoute({ name: "short", kind: "stream", targetMs: 300 });

function prompt(route: typeof longRoute, part: string, ownTokens: number, sharedTokens: number): PlacementRequest {
    const parts = [{ id: part, tokens: sharedTokens }, { id: "own", tokens: ownTokens }];
    const call = exampleCall({ prompt: { model: "m", promptTokens: ownTokens + sharedTokens, maxOutputTokens: 50, parts } });
    return { service: "model", call, route, available: engines, candidates: engines, nowMs: 0 };
}

const placerOn = (board: UpstreamLoadTracker) => new EnginePlacer(board, () => 0.5);

test("prompts with one shared part go to one engine, on every VM", () => {
    const [first, second] = [placerOn(new UpstreamLoadTracker()), placerOn(new UpstreamLoadTracker())];
    const request = prompt(longRoute, "manual-7", 2_000, 6_000);
    expect(first.place(request)?.upstream.id).toEqual(second.place(request)?.upstream.id ?? "none");
    expect(first.place(request)?.reason).toEqual("cached-prefix");
});

test("long prompts and short ones go to different engines", () => {
    const placer = placerOn(new UpstreamLoadTracker());
    const where = (route: typeof longRoute, ownTokens: number, sharedTokens: number) =>
        new Set(
            [...Array(50).keys()].map(index => placer.place(prompt(route, `part-${index}`, ownTokens, sharedTokens))?.upstream.id),
        );
    const long = where(longRoute, 2_000, 6_000);
    const short = where(shortRoute, 600, 200);
    expect([...short].filter(id => long.has(id))).toEqual([]);
});

test("an engine that failed changes the kind of no other engine", () => {
    const placer = placerOn(new UpstreamLoadTracker());
    const shortEngines = () => new Set([...Array(50).keys()].map(() => placer.place(prompt(shortRoute, "a", 600, 200))?.upstream));
    const failed = [...shortEngines()][0];
    const candidates = engines.filter(engine => engine !== failed);
    const long = new Set(
        [...Array(50).keys()].map(index => placer.place({ ...prompt(longRoute, `p-${index}`, 2_000, 6_000), candidates })?.upstream),
    );
    expect([...shortEngines()].filter(engine => long.has(engine))).toEqual([]);
});

test("a prompt leaves the engine that keeps its shared part when the wait there is worth reading it again", () => {
    const board = new UpstreamLoadTracker();
    const placer = placerOn(board);
    const request = prompt(longRoute, "manual-7", 2_000, 6_000);
    const home = placer.place(request) as Placement;
    const fill = (count: number) => {
        for (let index = 0; index < count; index++) {
            board.recordCallStart(home.upstream.id, { readMs: 120, delay: 0, dueMs: undefined });
        }
    };
    fill(8);
    expect(placer.place(request)?.reason).toEqual("cached-prefix");
    fill(32);
    const away = placer.place(request);
    expect(away?.reason).toEqual("shorter-wait");
    expect(away?.upstream.id === home.upstream.id).toEqual(false);
});

test("a part that many calls are about leaves its engine early, and is then kept on both", () => {
    const board = new UpstreamLoadTracker();
    const placer = placerOn(board);
    const request = prompt(longRoute, "manual-7", 2_000, 6_000);
    const home = placer.place(request) as Placement;
    for (let index = 0; index < 8; index++) {
        board.recordCallStart(home.upstream.id, { readMs: 120, delay: 0, dueMs: undefined });
    }
    const placed = [...Array(40).keys()].map(() => placer.place(request) as Placement);
    const away = placed.find(({ reason }) => reason === "shorter-wait");
    expect(away !== undefined).toEqual(true);
    const last = placed.at(-1) as Placement;
    expect([last.reason, last.upstream.id]).toEqual(["cached-prefix", away?.upstream.id ?? ""]);
});

test("short prompts keep away from an engine while it sends events later than usual", () => {
    const board = new UpstreamLoadTracker();
    const placer = placerOn(board);
    const first = placer.place(prompt(shortRoute, "a", 600, 200)) as Placement;
    for (let nowMs = 25; nowMs <= 1_000; nowMs += 25) {
        board.eventGaps.recordGap(first.upstream.id, nowMs <= 900 ? 25 : 70, nowMs);
    }
    const during = placer.place({ ...prompt(shortRoute, "a", 600, 200), nowMs: 1_000 });
    const after = placer.place({ ...prompt(shortRoute, "a", 600, 200), nowMs: 2_000 });
    expect([during?.upstream.id === first.upstream.id, after?.upstream.id]).toEqual([false, first.upstream.id]);
});

test("longer prompts are put behind shorter ones of their kind", () => {
    const placer = placerOn(new UpstreamLoadTracker());
    const delays = [1_000, 5_000, 10_000, 30_000].map(tokens => placer.place(prompt(longRoute, "manual-7", tokens, 6_000))?.delay);
    expect(delays).toEqual([0, 1, 2, 3]);
});

test("without engines there is no placement, and a single one takes everything", () => {
    const placer = placerOn(new UpstreamLoadTracker());
    expect(placer.place({ ...prompt(longRoute, "a", 100, 100), available: [], candidates: [] })).toEqual(undefined);
    const only = { available: engines.slice(0, 1), candidates: engines.slice(0, 1) };
    expect(placer.place({ ...prompt(longRoute, "a", 5_000, 100), ...only })?.upstream.id).toEqual("engine-0");
    expect(placer.place({ ...prompt(shortRoute, "a", 50, 10), ...only })?.upstream.id).toEqual("engine-0");
});

/** Picks the less loaded of two engines at random, as a router without knowledge of prompts does. */
function powerOfTwo(board: UpstreamLoadTracker, random: () => number): (request: PlacementRequest) => Placement | undefined {
    return ({ candidates }) => {
        const pick = () => candidates[Math.floor(random() * candidates.length)];
        const [left, right] = [pick(), pick()];
        const upstream = left !== undefined && right !== undefined && board.callsInFlight(right.id) < board.callsInFlight(left.id)
            ? right
            : left;
        return upstream && { upstream, readMs: 0, waitMs: 0, dueMs: undefined, delay: 0, reason: "least-loaded" };
    };
}

/** The load on which the users' first engines were at their limits: twice the usual long prompts. */
function doubledLong(seed: number): EngineWorkload {
    const usual = exampleWorkloads.vatukoula(seed);
    return {
        ...usual,
        seconds: 20,
        slowdownFactors: [1],
        long: { ...usual.long, callsPerSecond: () => 32 },
        short: { ...usual.short, callsPerSecond: () => 35 },
    };
}

function play(
    load: EngineWorkload,
): { readonly ours: ReturnType<typeof simulateEngineWorkload>; readonly baseline: ReturnType<typeof simulateEngineWorkload>; } {
    const ours = simulateEngineWorkload(load, (board, random) => {
        const placer = new EnginePlacer(board, random);
        return request => placer.place(request);
    });
    return { ours, baseline: simulateEngineWorkload(load, powerOfTwo) };
}

for (const seed of [1, 2, 3]) {
    test(`at twice the usual long prompts callers of both kinds are served better than by the less loaded of two engines, seed ${seed}`, () => {
        const { ours, baseline } = play(doubledLong(seed));
        expect(ours.longOnTimeShare > baseline.longOnTimeShare).toEqual(true);
        expect(ours.shortOnTimeShare > baseline.shortOnTimeShare).toEqual(true);
        expect(ours.prefilledTokens < baseline.prefilledTokens).toEqual(true);
    });
}

for (const site of ["vatukoula", "maderas"] as const) {
    test(`on a heavy day of ${site} callers are served better than by the less loaded of two engines, also in the worst seconds`, () => {
        const { ours, baseline } = play(exampleWorkloads[site](1));
        expect(ours.goodputShare > baseline.goodputShare).toEqual(true);
        expect(ours.worstGoodputShare > baseline.worstGoodputShare).toEqual(true);
        expect(ours.prefilledTokens < baseline.prefilledTokens).toEqual(true);
    });
}

for (const site of ["vatukoulaGrown", "maderasGrown"] as const) {
    test(`in the grown fleet of ${site} callers are served better when one VM places the calls of all`, () => {
        const load = exampleWorkloads[site](1);
        const ours = play({ ...load, vms: 1 }).ours;
        const each = play(load).ours;
        expect(ours.goodputShare > each.goodputShare).toEqual(true);
        expect(ours.shortOnTimeShare > each.shortOnTimeShare).toEqual(true);
    });
}
