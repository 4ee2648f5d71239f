import type { RelayUpstream } from "../../../schema/relay/RelayUpstream.js";
import type { ServiceScaling } from "../../../schema/relay/ServiceScaling.js";
import type { ScalingOrder } from "../ScalingOrder.js";
import { ScalingPlanner } from "../ScalingPlanner.js";
import type { ScalingReply } from "../ScalingReply.js";
import type { ServiceDemand } from "../ServiceDemand.js";
import { SimulatedPlatform } from "./SimulatedPlatform.js";

interface SentOrder extends ScalingOrder {
    readonly atMs: number;
    readonly reply: ScalingReply;
}

interface ScalingSimulation {
    readonly scaling?: Partial<ServiceScaling>;
    readonly durationMs?: number;
    /** Calls in flight as a share of the slots of the upstreams at the start. */
    readonly load: (nowMs: number) => number;
    /** Called before each look. */
    readonly disturb?: (platform: SimulatedPlatform, nowMs: number) => void;
    /** Reply that the holder sees; undefined for the platform's own. */
    readonly reply?: (order: ScalingOrder, nowMs: number, platform: SimulatedPlatform) => ScalingReply | undefined;
    /** What is listed, of what the platform lists. */
    readonly list?: (upstreams: RelayUpstream[], nowMs: number) => RelayUpstream[];
    readonly isDemandComplete?: (nowMs: number) => boolean;
    /** Time at which another VM becomes the holder, which has followed the list since the start. */
    readonly takeOverMs?: number;
}

interface ScalingResult {
    readonly orders: readonly SentOrder[];
    readonly cost: number;
    /** Cost of the upstreams at the start, for as long. */
    readonly initialCost: number;
    /** Upstreams that take calls at each poll, by time. */
    readonly capacity: ReadonlyMap<number, number>;
    readonly minCapacity: (fromMs: number, toMs: number) => number;
    readonly platform: SimulatedPlatform;
}

const stepMs = 500;
const listedMs = 2_000;
const leaseMs = 4_000;
const slots = 32;
const upstreamsAtStart = 14;
const defaultScaling: ServiceScaling = {
    minUpstreams: 1,
    maxUpstreams: 28,
    bootMs: 4_000,
    reclaimablePriceShare: 0.18,
    zonePrices: { "z-1": 0.85, "z-2": 1.2, "z-3": 1 },
};

/** Plays a day: 42 upstreams in three zones, the list known after 2 s, the first holder after 4 s, traffic as `load` says. */
export function simulateScaling(options: ScalingSimulation): ScalingResult {
    const { durationMs = 58_000, load, disturb, reply, list = upstreams => upstreams, takeOverMs } = options;
    const scaling = { ...defaultScaling, ...options.scaling };
    const platform = new SimulatedPlatform(scaling, slots);
    const zones = Object.keys(scaling.zonePrices);
    zones.forEach(zone => {
        platform.start(zone, false, upstreamsAtStart, 0);
    });
    const first = new ScalingPlanner(scaling);
    const second = new ScalingPlanner(scaling);
    const orders: SentOrder[] = [];
    const capacity = new Map<number, number>();
    for (let nowMs = 0; nowMs < durationMs; nowMs += stepMs) {
        platform.advance(stepMs, nowMs);
        disturb?.(platform, nowMs);
        const listed = nowMs < listedMs ? [] : list(platform.list(nowMs), nowMs);
        capacity.set(nowMs, platform.list(nowMs).filter(({ isDraining }) => !isDraining).length);
        first.observe(listed, nowMs);
        second.observe(listed, nowMs);
        const holder = takeOverMs !== undefined && nowMs >= takeOverMs ? second : first;
        if (nowMs === leaseMs || nowMs === takeOverMs) {
            holder.takeOver(nowMs);
        }
        if (nowMs < leaseMs) {
            continue;
        }
        const demand: ServiceDemand = {
            callsInFlight: load(nowMs) * upstreamsAtStart * zones.length * slots,
            pendingPrefillMs: 0,
            isComplete: options.isDemandComplete?.(nowMs) ?? true,
        };
        holder.recordDemand(demand, nowMs);
        for (let order = holder.nextOrder(nowMs); order !== undefined; order = holder.nextOrder(nowMs)) {
            const seen = reply?.(order, nowMs, platform) ?? platform.order(order, nowMs);
            holder.recordReply(order, seen, nowMs);
            orders.push({ ...order, atMs: nowMs, reply: seen });
        }
    }
    return {
        orders,
        cost: platform.cost,
        initialCost: zones.reduce((sum, zone) => sum + (scaling.zonePrices[zone] ?? 1) * upstreamsAtStart, 0) * durationMs / 1_000,
        capacity,
        minCapacity: (fromMs, toMs) =>
            Math.min(...[...capacity].filter(([atMs]) => atMs >= fromMs && atMs <= toMs).map(([, count]) => count)),
        platform,
    };
}
