import type { RelayUpstream } from "../../schema/relay/RelayUpstream.js";
import type { EngineGroups } from "./EngineGroups.js";
import { rankByRendezvousHash } from "./rankByRendezvousHash.js";

/** Share of the engines that take no long prompts; the models of heavy days on all sites served most with a fifth. */
const shortShare = 1 / 5;

/**
 * Shares the engines of a service out between short prompts with many events and long prompts. All VMs put the engines in the same
 * order, so that they share them out alike without talking about it. Engines for long prompts stay the same whatever the load, as
 * shared parts would have to be read again where they moved.
 */
export function splitEngines(engines: readonly RelayUpstream[]): EngineGroups {
    const line = interleaveZones(engines);
    if (line.length < 2) {
        return { short: line, long: line };
    }
    const ownCount = Math.ceil(line.length * shortShare);
    return { short: line.slice(0, ownCount), long: line.slice(ownCount) };
}

/** Each availability zone comes in turn, so that a zone on its own has engines of each kind. */
function interleaveZones(engines: readonly RelayUpstream[]): readonly RelayUpstream[] {
    const zones = new Map<string, RelayUpstream[]>();
    for (const engine of engines) {
        const zone = zones.get(engine.availabilityZone) ?? [];
        zone.push(engine);
        zones.set(engine.availabilityZone, zone);
    }
    const lists = [...zones].sort(([left], [right]) => left < right ? -1 : 1).map(([, list]) => rankByRendezvousHash("line", list));
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
