import type { RelayCall } from "../../schema/relay/RelayCall.js";
import type { RelayUpstream } from "../../schema/relay/RelayUpstream.js";
import { fnv1a } from "../util/fnv1a.js";
import { mixHash } from "../util/mixHash.js";
import type { LoadBoard } from "./LoadBoard.js";
import type { Placement } from "./Placement.js";
import type { PlacementRequest } from "./PlacementRequest.js";
import { RouteProfiles } from "./RouteProfiles.js";

/** Prompt tokens that an engine reads in a millisecond, until it has shown its own speed; the sheets of both sites say so. */
const readTokensPerMs = 69.8;
/** Prompts that are longer on average fill more than one chunk of reading and hold up the streams beside them. */
const longPromptTokens = 2_048;
/** Share of its slots that streams of short prompts are to fill on an engine of theirs. */
const shortFill = 0.35;
/** Reading an engine has ahead beyond which short prompts go to another one, in milliseconds a stream. */
const streamCostMs = 0.3;
/** Engines tried for a prompt by the hash of its shared part: its own, and the one that helps it out. */
const homeCount = 2;

/**
 * Places prompts on engines. It answers mixed loads of long prompts and many short streams: a long prompt that is read delays each
 * token of the streams beside it, so that the two kinds get engines of their own, as many as the short streams need at the moment.
 * Long prompts go where their shared part was read before, unless waiting there costs more than reading it again.
 */
export class EnginePlacer {
    private readonly profiles = new RouteProfiles();

    constructor(private readonly board: LoadBoard, private readonly random: () => number) {}

    place(request: PlacementRequest): Placement | undefined {
        const { call, route, candidates } = request;
        if (candidates.length === 0) {
            return undefined;
        }
        const totalTokens = allTokens(call);
        this.profiles.observe(route.name, totalTokens);
        const isLong = (this.profiles.meanPromptTokens(route.name) ?? totalTokens) >= longPromptTokens;
        const line = interleaveZones(candidates);
        const shortCount = this.shortEngineCount(line);
        if (isLong) {
            return this.placeLong(request, shortCount < line.length ? line.slice(shortCount) : line);
        }
        return this.placeShort(request, line.slice(0, Math.max(1, shortCount)));
    }

    /** As many engines as the streams of short prompts need, but at most half. */
    private shortEngineCount(line: readonly RelayUpstream[]): number {
        if (line.length < 2) {
            return 0;
        }
        const most = Math.max(1, Math.floor(line.length / 2));
        let streams = 0;
        let places = 0;
        for (let index = 0; index < line.length; index++) {
            streams += this.board.streams((line[index] as RelayUpstream).id);
            places += (line[index] as RelayUpstream).slots * shortFill;
        }
        const wanted = Math.ceil(streams / (places / line.length));
        return Math.min(most, Math.max(1, wanted));
    }

    private placeShort(request: PlacementRequest, group: readonly RelayUpstream[]): Placement | undefined {
        let best: RelayUpstream | undefined;
        let bestCost = Infinity;
        for (const upstream of group) {
            const cost = this.board.unreadMs(upstream.id, request.nowMs) + this.board.calls(upstream.id) * streamCostMs + this.random();
            if (cost < bestCost) {
                best = upstream;
                bestCost = cost;
            }
        }
        return best && this.placement(best, allTokens(request.call), request, "least-loaded");
    }

    private placeLong(request: PlacementRequest, group: readonly RelayUpstream[]): Placement | undefined {
        const { call } = request;
        const own = call.prompt?.parts.at(-1)?.tokens ?? 0;
        const shared = allTokens(call) - own;
        const homes = rankByHash(sharedPartOf(call), group).slice(0, homeCount);
        const [first, second] = homes;
        if (first === undefined) {
            return undefined;
        }
        if (second === undefined) {
            return this.placement(first, own, request, "only-one");
        }
        const firstWaitMs = this.board.unreadMs(first.id, request.nowMs);
        const secondWaitMs = this.board.unreadMs(second.id, request.nowMs) + shared / readTokensPerMs;
        return firstWaitMs <= secondWaitMs
            ? this.placement(first, own, request, "cached-prefix")
            : this.placement(second, own + shared, request, "shorter-wait");
    }

    private placement(upstream: RelayUpstream, tokens: number, request: PlacementRequest, reason: Placement["reason"]): Placement {
        return { upstream, readMs: tokens / readTokensPerMs, waitMs: this.board.unreadMs(upstream.id, request.nowMs), reason };
    }
}

function allTokens(call: RelayCall): number {
    const parts = call.prompt?.parts ?? [];
    return Math.max(call.prompt?.promptTokens ?? 0, parts.reduce((sum, part) => sum + part.tokens, 0));
}

/** The longest part of the prompt that others share: all but the last. */
function sharedPartOf(call: RelayCall): string {
    const parts = call.prompt?.parts ?? [];
    return (parts.at(-2) ?? parts.at(-1))?.id ?? call.requestId;
}

function rankByHash(key: string, upstreams: readonly RelayUpstream[]): readonly RelayUpstream[] {
    const keyHash = fnv1a(key);
    return upstreams
        .map(upstream => ({ upstream, score: mixHash(fnv1a(upstream.id, keyHash)) }))
        .sort((left, right) => right.score - left.score)
        .map(({ upstream }) => upstream);
}

/** All VMs put the upstreams in the same order, in which each availability zone comes in turn. */
function interleaveZones(upstreams: readonly RelayUpstream[]): readonly RelayUpstream[] {
    const zones = new Map<string, RelayUpstream[]>();
    for (const upstream of upstreams) {
        const zone = zones.get(upstream.availabilityZone) ?? [];
        zone.push(upstream);
        zones.set(upstream.availabilityZone, zone);
    }
    const lists = [...zones].sort(([left], [right]) => left < right ? -1 : 1).map(([, list]) => rankByHash("line", list));
    const line: RelayUpstream[] = [];
    for (let rank = 0; line.length < upstreams.length; rank++) {
        for (const list of lists) {
            const upstream = list[rank];
            if (upstream !== undefined) {
                line.push(upstream);
            }
        }
    }
    return line;
}
