import type { RelayUpstream } from "../../schema/relay/RelayUpstream.js";
import { rankByHash } from "./rankByHash.js";

/** Engines of one service by the prompts that they take. */
interface Groups {
    readonly short: readonly RelayUpstream[];
    readonly long: readonly RelayUpstream[];
}

/** Share of the engines that streams of short prompts get at least, which served a calm day best in trials. */
const shortShare = 3 / 8;
/** Share of its slots that streams are to fill on an engine for short prompts. */
const shortFill = 0.5;
/** Engines for short prompts are given back to long ones only after the streams have been fewer for this long. */
const holdMs = 3_000;

/**
 * Shares the engines of a service out between short prompts with many events and long prompts. All VMs put the engines
 * in the same order, so that they share them out alike without talking about it.
 */
export class EngineGroups {
    private heldCount = 0;
    private heldUntilMs = 0;

    /** `streamsOf` tells how many streams of short prompts run on an engine. */
    split(engines: readonly RelayUpstream[], streamsOf: (id: string) => number, nowMs: number): Groups {
        const line = interleaveZones(engines);
        if (line.length < 2) {
            return { short: line, long: line };
        }
        const shortCount = this.hold(this.wantedShort(line, streamsOf), nowMs);
        const count = Math.min(shortCount, Math.max(1, Math.floor(line.length / 2)));
        return { short: line.slice(0, count), long: line.slice(count) };
    }

    private wantedShort(line: readonly RelayUpstream[], streamsOf: (id: string) => number): number {
        let streams = 0;
        let places = 0;
        for (const engine of line) {
            streams += streamsOf(engine.id);
            places += engine.slots * shortFill / line.length;
        }
        return Math.max(Math.round(line.length * shortShare), Math.ceil(streams / places));
    }

    private hold(wanted: number, nowMs: number): number {
        if (wanted >= this.heldCount || nowMs >= this.heldUntilMs) {
            this.heldCount = wanted;
            this.heldUntilMs = nowMs + holdMs;
        }
        return this.heldCount;
    }
}

/** Each availability zone comes in turn, so that a zone on its own has engines of each kind. */
function interleaveZones(engines: readonly RelayUpstream[]): readonly RelayUpstream[] {
    const zones = new Map<string, RelayUpstream[]>();
    for (const engine of engines) {
        const zone = zones.get(engine.availabilityZone) ?? [];
        zone.push(engine);
        zones.set(engine.availabilityZone, zone);
    }
    const lists = [...zones].sort(([left], [right]) => left < right ? -1 : 1).map(([, list]) => rankByHash("line", list));
    const line: RelayUpstream[] = [];
    for (let rank = 0; line.length < engines.length; rank++) {
        for (const list of lists) {
            const engine = list[rank];
            if (engine !== undefined) {
                line.push(engine);
            }
        }
    }
    return line;
}
