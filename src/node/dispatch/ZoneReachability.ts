import type { Member } from "../../core/membership/Member.js";
import type { Scheduler } from "../../core/util/Scheduler.js";
import type { Pool } from "../../schema/config/Pool.js";
import type { Upstream } from "../../schema/config/Upstream.js";

const probePeriodMs = 1_000;
/** Engines tried for each zone and probe. */
const probesPerZone = 2;

/** Tries to open a connection to an upstream; resolves with whether it opened. */
type CanConnect = (url: string, signal: AbortSignal) => Promise<boolean>;

/**
 * Judges which availability zones' upstreams can be reached. A zone with a live VM in view can. A zone without one may be cut off, or may
 * have lost its VMs alone: it counts as out of reach until a probe of its upstreams opens a connection.
 */
export class ZoneReachability {
    private unreachable: ReadonlySet<string> = new Set();
    private suspects = new Map<string, readonly Upstream[]>();
    private probeCount = 0;
    private signal: AbortSignal | undefined;

    /** `onChange` is called when a probe has changed which zones are out of reach. */
    constructor(private readonly scheduler: Scheduler, private readonly canConnect: CanConnect, private readonly onChange: () => void) {}

    /** Probes until `signal` aborts. */
    start(signal: AbortSignal): void {
        this.signal = signal;
        this.scheduler.every(probePeriodMs, () => {
            this.probeAll(signal);
        }, signal);
    }

    /** Takes over a changed view. While no VM is in view at all, nothing is known, and every zone counts as reachable. */
    update(pools: Iterable<Pool>, members: readonly Member[]): void {
        const alive = new Set(members.map(member => member.availabilityZone));
        const upstreams = [...pools].flatMap(pool => pool.upstreams).filter(upstream => !alive.has(upstream.availabilityZone));
        const suspects = new Map<string, readonly Upstream[]>();
        for (const upstream of alive.size === 0 ? [] : upstreams) {
            suspects.set(upstream.availabilityZone, [...suspects.get(upstream.availabilityZone) ?? [], upstream]);
        }
        const fresh = [...suspects.keys()].filter(zone => !this.suspects.has(zone));
        this.unreachable = new Set([...suspects.keys()].filter(zone => this.unreachable.has(zone) || fresh.includes(zone)));
        this.suspects = suspects;
        if (fresh.length > 0 && this.signal !== undefined) {
            this.probeAll(this.signal);
        }
    }

    /** Zones whose upstreams should get no new work. */
    get unreachableUpstreamZones(): ReadonlySet<string> {
        return this.unreachable;
    }

    private probeAll(signal: AbortSignal): void {
        this.probeCount++;
        for (const [zone, upstreams] of this.suspects) {
            void this.probe(zone, upstreams, signal);
        }
    }

    private async probe(zone: string, upstreams: readonly Upstream[], signal: AbortSignal): Promise<void> {
        const first = this.probeCount * probesPerZone;
        const tried = [...Array(probesPerZone).keys()].map(index => upstreams[(first + index) % upstreams.length] as Upstream);
        const opened = await Promise.all(tried.map(upstream => this.canConnect(upstream.url, signal)));
        const isReached = opened.some(Boolean);
        if (signal.aborted || !this.suspects.has(zone) || isReached !== this.unreachable.has(zone)) {
            return;
        }
        this.unreachable = isReached
            ? new Set([...this.unreachable].filter(other => other !== zone))
            : new Set([...this.unreachable, zone]);
        this.onChange();
    }
}
