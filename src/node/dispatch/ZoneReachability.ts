import type { Member } from "../../core/membership/Member.js";
import type { Scheduler } from "../../core/util/Scheduler.js";
import type { Pool } from "../../schema/config/Pool.js";
import type { Upstream } from "../../schema/config/Upstream.js";

const probePeriodMs = 1_000;
/** Upstreams probed per zone and round. */
const probesPerZone = 2;

/** Resolves to whether a connection to an upstream's URL opens. */
type CanConnect = (url: string, signal: AbortSignal) => Promise<boolean>;

/**
 * Tracks which availability zones' upstreams are reachable. A zone with a VM among the members counts as reachable. A zone without one may
 * be partitioned or may have lost only its VMs: it counts as unreachable until a probe opens a connection to one of its upstreams.
 */
export class ZoneReachability {
    private unreachableZones: ReadonlySet<string> = new Set();
    /** Zones without a VM among the members, with their upstreams. */
    private suspectZones = new Map<string, readonly Upstream[]>();
    private probeRound = 0;
    private signal: AbortSignal | undefined;

    /** `onChange` is called when a probe has changed the set of unreachable zones. */
    constructor(private readonly scheduler: Scheduler, private readonly canConnect: CanConnect, private readonly onChange: () => void) {}

    /** Probes until `signal` aborts. */
    start(signal: AbortSignal): void {
        this.signal = signal;
        this.scheduler.every(probePeriodMs, () => {
            this.probeAll(signal);
        }, signal);
    }

    /** Applies a change of configuration or membership. Without members, all zones count as reachable, as their state is unknown. */
    update(pools: Iterable<Pool>, members: readonly Member[]): void {
        const zonesWithVms = new Set(members.map(member => member.availabilityZone));
        const upstreams = [...pools].flatMap(pool => pool.upstreams).filter(upstream => !zonesWithVms.has(upstream.availabilityZone));
        const suspectZones = new Map<string, readonly Upstream[]>();
        for (const upstream of zonesWithVms.size === 0 ? [] : upstreams) {
            suspectZones.set(upstream.availabilityZone, [...suspectZones.get(upstream.availabilityZone) ?? [], upstream]);
        }
        const newSuspectZones = [...suspectZones.keys()].filter(zone => !this.suspectZones.has(zone));
        this.unreachableZones = new Set(
            [...suspectZones.keys()].filter(zone => this.unreachableZones.has(zone) || newSuspectZones.includes(zone)),
        );
        this.suspectZones = suspectZones;
        if (newSuspectZones.length > 0 && this.signal !== undefined) {
            this.probeAll(this.signal);
        }
    }

    /** Zones whose upstreams must not be sent new requests. */
    get unreachableUpstreamZones(): ReadonlySet<string> {
        return this.unreachableZones;
    }

    private probeAll(signal: AbortSignal): void {
        this.probeRound++;
        for (const [zone, upstreams] of this.suspectZones) {
            void this.probe(zone, upstreams, signal);
        }
    }

    private async probe(zone: string, upstreams: readonly Upstream[], signal: AbortSignal): Promise<void> {
        const firstIndex = this.probeRound * probesPerZone;
        const probed = [...Array(probesPerZone).keys()].map(index => upstreams[(firstIndex + index) % upstreams.length] as Upstream);
        const results = await Promise.all(probed.map(upstream => this.canConnect(upstream.url, signal)));
        const isReachable = results.some(Boolean);
        if (signal.aborted || !this.suspectZones.has(zone) || isReachable !== this.unreachableZones.has(zone)) {
            return;
        }
        this.unreachableZones = isReachable
            ? new Set([...this.unreachableZones].filter(other => other !== zone))
            : new Set([...this.unreachableZones, zone]);
        this.onChange();
    }
}
