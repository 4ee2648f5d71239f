import type { RelayUpstream } from "../../../schema/relay/RelayUpstream.js";
import type { ServiceScaling } from "../../../schema/relay/ServiceScaling.js";
import { exampleUpstream } from "../../relay/testing/exampleUpstream.js";
import type { ScalingOrder } from "../ScalingOrder.js";

interface Upstream {
    readonly id: string;
    readonly zone: string;
    readonly isReclaimable: boolean;
    readonly readyAtMs: number;
    leavesAtMs: number;
}

const drainMs = 2_500;

/** Runs the ordered number of upstreams in each zone, reclaims them, and bills each upstream for each second. */
export class SimulatedPlatform {
    /** Price of all upstreams so far, in seconds of an ordinary upstream. */
    cost = 0;
    /** Time until which no reclaimable upstreams are to be had. */
    refusesUntilMs = -Infinity;
    private upstreams: Upstream[] = [];
    private nextId = 0;

    constructor(private readonly scaling: ServiceScaling, private readonly slots: number) {}

    start(zone: string, isReclaimable: boolean, count: number, readyAtMs: number): void {
        for (let index = 0; index < count; index++) {
            this.upstreams.push({ id: `w-${this.nextId++}`, zone, isReclaimable, readyAtMs, leavesAtMs: Infinity });
        }
    }

    /** Carries out an order; returns whether it was accepted. */
    order({ availabilityZone: zone, isReclaimable, count }: ScalingOrder, nowMs: number): "accepted" | "unavailable" | "rejected" {
        const current = this.upstreams.filter(upstream => this.stays(upstream, zone, isReclaimable));
        if (isReclaimable && count > current.length && nowMs < this.refusesUntilMs) {
            return "unavailable";
        }
        const other = this.upstreams.filter(upstream => this.stays(upstream, zone, !isReclaimable)).length;
        if (count + other > this.scaling.maxUpstreams || count + other < this.scaling.minUpstreams) {
            return "rejected";
        }
        this.start(zone, isReclaimable, count - current.length, nowMs + this.scaling.bootMs);
        this.drain(current.slice(count), nowMs);
        return "accepted";
    }

    /** Takes all reclaimable upstreams of a zone away; none are to be had for `durationMs`. */
    reclaim(zone: string, durationMs: number, nowMs: number): void {
        this.drain(this.upstreams.filter(upstream => this.stays(upstream, zone, true)), nowMs);
        this.refusesUntilMs = nowMs + durationMs;
    }

    /** Ends ready upstreams without notice; others start in their place. */
    crash(zone: string, count: number, nowMs: number): void {
        for (const upstream of this.upstreams.filter(({ zone: at, readyAtMs }) => at === zone && readyAtMs <= nowMs).slice(0, count)) {
            this.upstreams.splice(this.upstreams.indexOf(upstream), 1);
            this.start(zone, upstream.isReclaimable, 1, nowMs + this.scaling.bootMs);
        }
    }

    /** Replaces one upstream, as an operator does: it drains while the new one starts. */
    replaceOne(zone: string, nowMs: number): void {
        const upstream = this.upstreams.find(candidate => this.stays(candidate, zone, false) && candidate.readyAtMs <= nowMs);
        if (upstream !== undefined) {
            this.drain([upstream], nowMs);
            this.start(zone, false, 1, nowMs + this.scaling.bootMs);
        }
    }

    advance(stepMs: number, nowMs: number): void {
        this.upstreams = this.upstreams.filter(({ leavesAtMs }) => leavesAtMs > nowMs);
        for (const { zone, isReclaimable } of this.upstreams) {
            this.cost += (this.scaling.zonePrices[zone] ?? 1) * (isReclaimable ? this.scaling.reclaimablePriceShare : 1) * stepMs / 1_000;
        }
    }

    list(nowMs: number): RelayUpstream[] {
        return this.upstreams.filter(({ readyAtMs }) => readyAtMs <= nowMs).map(({ id, zone, isReclaimable, leavesAtMs }) =>
            exampleUpstream(id, { availabilityZone: zone, isReclaimable, isDraining: leavesAtMs < Infinity, slots: this.slots })
        );
    }

    private drain(upstreams: readonly Upstream[], nowMs: number): void {
        for (const upstream of upstreams) {
            upstream.leavesAtMs = nowMs + drainMs;
        }
    }

    private stays(upstream: Upstream, zone: string, isReclaimable: boolean): boolean {
        return upstream.zone === zone && upstream.isReclaimable === isReclaimable && upstream.leavesAtMs === Infinity;
    }
}
