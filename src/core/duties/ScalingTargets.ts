import type { ServiceScaling } from "../../schema/relay/ServiceScaling.js";
import { DemandWindow } from "./DemandWindow.js";
import { scalingWindowMs } from "./scalingWindowMs.js";
import type { ServiceDemand } from "./ServiceDemand.js";

/** Reclaimable upstreams replace ordinary ones where they cost less than this share: a lost one costs its callers more than its price. */
const maxReclaimablePriceShare = 0.5;
/** Number of upstreams with reclaimable ones, relative to the reference. */
const totalShare = 1.55;
/** Zones that may lose their reclaimable upstreams one after the other, before any can be ordered again. */
const maxLostZones = 2;
/** Share of the reference that stays ordinary, so that something is left when the reclaimable upstreams of all zones are taken away. */
const minOrdinaryShare = 0.2;
/** Smallest share of the reference to which a service without reclaimable upstreams is reduced. */
const minTotalShare = 0.5;
/** A third of the highest demand is kept to spare. */
const spareFactor = 4 / 3;
/**
 * Largest demand that prompts waiting to be read can stand for, as a share of the reference: a queue grows for as long as a burst lasts and
 * says little about how many upstreams would have kept it short.
 */
const maxBacklogShare = 1.5;
/** An engine whose waiting prompts take this long to read counts as full: a short prompt behind them would begin late. */
const fullPrefillMs = 200;
/** Ordinary upstreams that are listed later than this after the first ones may have been ordered, and do not count towards the reference. */
const startMs = 10_000;
/** Limits of one raise, as shares of the reference: orders are priced, and a queue that grows overstates what is needed. */
const raise = { minShare: 0.1, maxShare: 0.5 };
const reduction = { share: 0.08, intervalMs: 10_000 };

/** How many upstreams of a service are to run, and how many of them ordinary ones: from their number at the start and from the demand. */
export class ScalingTargets {
    /** Number of upstreams at the start, before any were ordered. */
    reference = 0;
    /** Number of upstreams that are to run; the demand of the window raises it and lowers it. */
    total = 0;
    /** Time at which upstreams were first listed; undefined before. */
    firstListedMs: number | undefined;
    readonly demand = new DemandWindow(scalingWindowMs);
    /** Demand by slots in use alone, which a queue of prompts does not inflate. */
    private readonly slotDemand = new DemandWindow(scalingWindowMs);
    /** Total that ordinary upstreams make up for; it follows the demand in steps, as each order is priced. */
    private coveredTotal = 0;
    private lastRaiseMs = -Infinity;
    /** Last time at which the demand raised `total`. */
    private lastDemandRaiseMs = -Infinity;
    private lastReductionMs = -Infinity;
    private zoneCount = 0;

    constructor(private scaling: ServiceScaling) {}

    /** Applies limits and prices of a newer configuration. */
    update(scaling: ServiceScaling): void {
        this.scaling = scaling;
    }

    /** Applies the numbers of ready upstreams. With reclaimable ones among them, what runs is the result of earlier orders. */
    observe(ready: { readonly ordinary: number; readonly reclaimable: number; }, zoneCount: number, nowMs: number): void {
        this.zoneCount = zoneCount;
        this.firstListedMs ??= nowMs;
        if (this.usesReclaimable && ready.reclaimable > 0) {
            this.reference = this.reference > 0 ? this.reference : Math.round((ready.ordinary + ready.reclaimable) / totalShare);
        }
        else if (nowMs - this.firstListedMs <= startMs) {
            this.reference = Math.max(this.reference, ready.ordinary);
        }
    }

    /** Whether the number of upstreams at the start can no longer change. */
    isReferenceFinal(nowMs: number): boolean {
        return this.firstListedMs !== undefined && nowMs - this.firstListedMs > startMs;
    }

    /** Records a reading of the demand; one that lacks calls of other VMs never lowers an order. */
    recordDemand({ callsInFlight, pendingPrefillMs, isComplete }: ServiceDemand, slotsPerUpstream: number, nowMs: number): void {
        const backlog = Math.min(pendingPrefillMs / fullPrefillMs, this.reference * maxBacklogShare);
        this.demand.record(Math.max(callsInFlight / slotsPerUpstream, backlog), isComplete, nowMs);
        this.slotDemand.record(callsInFlight / slotsPerUpstream, isComplete, nowMs);
    }

    /** Starts anew, as this VM has become the holder. */
    reset(nowMs: number): void {
        this.total = 0;
        this.lastRaiseMs = nowMs;
    }

    /** Records that more upstreams were ordered, after which none are given up for a window. */
    recordRaise(nowMs: number): void {
        this.lastRaiseMs = nowMs;
    }

    /** Raises or lowers `total` by what the demand calls for. */
    follow(nowMs: number): void {
        const { baseline, reference, scaling } = this;
        const needed = Math.ceil(this.demand.peak * spareFactor);
        const maxTotal = scaling.maxUpstreams * this.zoneCount;
        if (this.total === 0) {
            this.total = Math.min(maxTotal, baseline);
        }
        if (needed > this.total && nowMs - this.lastDemandRaiseMs >= scaling.bootMs) {
            const maxRaise = Math.ceil(reference * raise.maxShare);
            this.total = Math.min(maxTotal, this.total + Math.max(this.minRaise, Math.min(maxRaise, needed - this.total)));
            this.lastDemandRaiseMs = nowMs;
            this.lastRaiseMs = nowMs;
            return;
        }
        const floor = Math.max(needed, this.usesReclaimable ? baseline : Math.ceil(reference * minTotalShare));
        if (this.total > floor && this.mayReduce(this.lastReductionMs, nowMs)) {
            this.total -= Math.min(this.reductionStep, this.total - floor);
            this.lastReductionMs = nowMs;
        }
    }

    get usesReclaimable(): boolean {
        return this.scaling.reclaimablePriceShare < maxReclaimablePriceShare;
    }

    /** Number of ordinary upstreams when all reclaimable ones can be had, spread evenly over the zones. */
    get ordinary(): number {
        const { lostZones, surviving, total, zoneCount } = this;
        const forSurviving = Math.ceil((zoneCount * surviving - (zoneCount - lostZones) * total) / lostZones);
        return Math.min(total, Math.max(Math.ceil(this.reference * minOrdinaryShare), forSurviving));
    }

    /** Number of reclaimable upstreams when all of them can be had. */
    get reclaimable(): number {
        return Math.max(0, this.total - this.ordinary);
    }

    /** Number that has to be left when `lostZones` zones lose their reclaimable upstreams: the reference, and enough for the mean demand. */
    get surviving(): number {
        return Math.max(this.reference, Math.ceil(this.demand.mean));
    }

    /** Number of zones whose reclaimable upstreams may be lost together. */
    get lostZones(): number {
        return Math.max(1, Math.min(maxLostZones, this.zoneCount - 1));
    }

    /** Total to which ordinary upstreams fill up what reclaimable ones leave open; `mayAwaitReclaimable`: these are expected back soon. */
    computeCoveredTotal(mayAwaitReclaimable: boolean): number {
        if (!this.usesReclaimable) {
            return this.total;
        }
        // A burst is over, or nearly, when an upstream that is ordered for it serves, and ordinary ones are paid for until the window ends.
        // Beyond the reference they follow the slots in use.
        const mostNeeded = Math.max(this.reference, Math.ceil(this.slotDemand.mean * spareFactor));
        const limit = mayAwaitReclaimable ? this.baseline : Infinity;
        const needed = Math.min(mostNeeded, Math.ceil(this.demand.mean * spareFactor), this.total, limit);
        if (Math.abs(needed - this.coveredTotal) >= this.minRaise) {
            this.coveredTotal = needed;
        }
        return Math.max(this.reference, this.coveredTotal);
    }

    /** Whether upstreams may be given up: after a whole window of known demand without a raise, and some time after the last reduction. */
    mayReduce(lastReductionMs: number, nowMs: number): boolean {
        return this.demand.isWhole(nowMs) && nowMs - this.lastRaiseMs >= scalingWindowMs && nowMs - lastReductionMs >= reduction.intervalMs;
    }

    get minRaise(): number {
        return Math.ceil(this.reference * raise.minShare);
    }

    get reductionStep(): number {
        return Math.max(1, Math.floor(this.reference * reduction.share));
    }

    private get baseline(): number {
        return this.usesReclaimable ? Math.ceil(this.reference * totalShare) : this.reference;
    }
}
