import type { RelayUpstream } from "../../schema/relay/RelayUpstream.js";
import type { ServiceScaling } from "../../schema/relay/ServiceScaling.js";
import { computeFillLevel } from "./computeFillLevel.js";
import type { ScalingOrder } from "./ScalingOrder.js";
import { UpstreamGroup } from "./UpstreamGroup.js";
import type { UpstreamKind } from "./UpstreamKind.js";

type ZoneGroups = Readonly<Record<UpstreamKind, UpstreamGroup>>;

const kinds: readonly UpstreamKind[] = ["ordinary", "reclaimable"];

/** The upstreams of a service by availability zone and kind, within the limits of its configuration. */
export class UpstreamGroups {
    private readonly groups = new Map<string, ZoneGroups>();
    private zonesByPrice: readonly string[] = [];
    private meanSlots = 1;

    constructor(private scaling: ServiceScaling) {}

    /** Applies limits and prices of a newer configuration. */
    update(scaling: ServiceScaling): void {
        this.scaling = scaling;
    }

    /** Zones by rising price. */
    get zones(): readonly string[] {
        return this.zonesByPrice;
    }

    /** Mean number of slots of an upstream. */
    get slotsPerUpstream(): number {
        return this.meanSlots;
    }

    /** Applies the list of upstreams; returns the groups that the platform has just reclaimed. */
    observe(upstreams: readonly RelayUpstream[], nowMs: number): readonly UpstreamGroup[] {
        const { zonePrices } = this.scaling;
        const zones = new Set([...this.groups.keys(), ...Object.keys(zonePrices), ...upstreams.map(upstream => upstream.availabilityZone)]);
        this.zonesByPrice = [...zones].sort((left, right) => this.getPrice(left) - this.getPrice(right) || (left < right ? -1 : 1));
        if (upstreams.length > 0) {
            this.meanSlots = upstreams.reduce((sum, { slots }) => sum + slots, 0) / upstreams.length;
        }
        return this.zones.flatMap(zone => {
            const { ordinary, reclaimable } = this.getZone(zone);
            const inZone = upstreams.filter(upstream => upstream.availabilityZone === zone);
            ordinary.observe(inZone.filter(({ isReclaimable }) => !isReclaimable), false, nowMs);
            const isReclaimed = reclaimable.observe(inZone.filter(({ isReclaimable }) => isReclaimable), true, nowMs);
            return isReclaimed ? [reclaimable] : [];
        });
    }

    /** Forgets the orders of an earlier time as the holder, and starts from what is listed. */
    reset(): void {
        for (const { ordinary, reclaimable } of this.groups.values()) {
            ordinary.reset();
            reclaimable.reset();
        }
    }

    /** The group that an order is for; undefined if its zone is not known. */
    find({ availabilityZone, isReclaimable }: ScalingOrder): UpstreamGroup | undefined {
        return this.groups.get(availabilityZone)?.[isReclaimable ? "reclaimable" : "ordinary"];
    }

    get(zone: string, kind: UpstreamKind): UpstreamGroup {
        return this.getZone(zone)[kind];
    }

    /** Groups of one kind in the order of `zones`. */
    list(kind: UpstreamKind): readonly UpstreamGroup[] {
        return this.zones.map(zone => this.get(zone, kind));
    }

    countReady(kind: UpstreamKind): number {
        return sum(this.list(kind).map(({ ready }) => ready));
    }

    countServing(kind: UpstreamKind): number {
        return sum(this.list(kind).map(({ serving }) => serving));
    }

    /** Number of both kinds that serve or will do so soon. */
    countExpected(nowMs: number): number {
        return sum(kinds.flatMap(kind => this.list(kind).map(group => group.countExpected(nowMs))));
    }

    /** Largest number of a kind in a zone, beside those of the other kind. */
    countRoom(zone: string, kind: UpstreamKind, nowMs: number): number {
        const other = this.get(zone, kind === "ordinary" ? "reclaimable" : "ordinary");
        return Math.max(0, this.scaling.maxUpstreams - Math.max(other.ready, other.countExpected(nowMs)));
    }

    /** The first order that spreads what is missing of a total over the zones that have upstreams of this kind; undefined if none is due. */
    fillUp(kind: UpstreamKind, total: number, nowMs: number): ScalingOrder | undefined {
        const missing = total - this.countExpected(nowMs);
        if (missing <= 0) {
            return undefined;
        }
        const expected = (zone: string) => this.get(zone, kind).countExpected(nowMs);
        const available = this.zones.filter(zone =>
            !this.get(zone, kind).isLost &&
            this.countRoom(zone, kind, nowMs) > expected(zone) && this.get(zone, kind).mayOrder(expected(zone) + 1, nowMs)
        ).sort((left, right) => expected(left) - expected(right));
        const zone = available[0];
        if (zone === undefined) {
            return undefined;
        }
        const count = Math.min(this.countRoom(zone, kind, nowMs), computeFillLevel(available.map(expected), missing));
        return this.get(zone, kind).mayOrder(count, nowMs)
            ? { availabilityZone: zone, isReclaimable: kind === "reclaimable", count }
            : undefined;
    }

    /** Repeats an order whose upstreams have been missing for too long; undefined if there is none. */
    repeatOverdue(nowMs: number): ScalingOrder | undefined {
        for (const zone of this.zones) {
            for (const kind of kinds) {
                const group = this.get(zone, kind);
                if (group.isOverdue(nowMs)) {
                    return { availabilityZone: zone, isReclaimable: kind === "reclaimable", count: group.ordered };
                }
            }
        }
        return undefined;
    }

    /** Ordered and listed upstreams by zone and kind. */
    get state(): readonly { readonly zone: string; readonly kind: UpstreamKind; readonly ordered: number; readonly listed: number; }[] {
        return [...this.groups].flatMap(([zone, groups]) =>
            kinds.map(kind => ({ zone, kind, ordered: groups[kind].ordered, listed: groups[kind].ready }))
        );
    }

    private getZone(zone: string): ZoneGroups {
        let groups = this.groups.get(zone);
        if (groups === undefined) {
            const { bootMs } = this.scaling;
            groups = { ordinary: new UpstreamGroup(bootMs), reclaimable: new UpstreamGroup(bootMs) };
            this.groups.set(zone, groups);
        }
        return groups;
    }

    private getPrice(zone: string): number {
        return this.scaling.zonePrices[zone] ?? 1;
    }
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}
