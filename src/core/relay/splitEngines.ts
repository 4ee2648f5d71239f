import type { RelayUpstream } from "../../schema/relay/RelayUpstream.js";
import type { EngineGroups } from "./EngineGroups.js";
import { rankByRendezvousHash } from "./rankByRendezvousHash.js";

/** Share of the engines that are for short prompts. */
const shortShare = 1 / 5;

/**
 * Splits the engines of a service into those for short prompts with many events and those for long prompts. All VMs order the engines
 * alike, so that they get the same groups without coordination. The groups do not depend on the load, because shared parts would have to
 * be prefilled again wherever long prompts moved. A single engine belongs to both groups.
 */
export function splitEngines(engines: readonly RelayUpstream[]): EngineGroups {
    const ordered = interleaveZones(engines);
    if (ordered.length < 2) {
        return { short: ordered, long: ordered };
    }
    const shortCount = Math.ceil(ordered.length * shortShare);
    return { short: ordered.slice(0, shortCount), long: ordered.slice(shortCount) };
}

/** Orders the engines round-robin over their availability zones, so that an isolated zone has engines of both groups. */
function interleaveZones(engines: readonly RelayUpstream[]): readonly RelayUpstream[] {
    const zones = new Map<string, RelayUpstream[]>();
    for (const engine of engines) {
        const zone = zones.get(engine.availabilityZone) ?? [];
        zone.push(engine);
        zones.set(engine.availabilityZone, zone);
    }
    const rankedZones = [...zones].sort(([left], [right]) => left < right ? -1 : 1).map(([, zoneEngines]) =>
        rankByRendezvousHash("line", zoneEngines)
    );
    const ordered: RelayUpstream[] = [];
    for (let rank = 0; ordered.length < engines.length; rank++) {
        for (const zoneEngines of rankedZones) {
            const engine = zoneEngines[rank];
            if (engine !== undefined) {
                ordered.push(engine);
            }
        }
    }
    return ordered;
}
