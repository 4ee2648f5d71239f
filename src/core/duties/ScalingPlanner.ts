import type { RelayUpstream } from "../../schema/relay/RelayUpstream.js";
import type { ServiceScaling } from "../../schema/relay/ServiceScaling.js";
import type { ScalingOrder } from "./ScalingOrder.js";
import type { ScalingReply } from "./ScalingReply.js";
import { ScalingTargets } from "./ScalingTargets.js";
import { scalingWindowMs } from "./scalingWindowMs.js";
import type { ServiceDemand } from "./ServiceDemand.js";
import { splitByPrice } from "./splitByPrice.js";
import { UpstreamGroups } from "./UpstreamGroups.js";

/** The list counts as complete when the ordinary upstreams have been the same for this long. */
const settleMs = 1_500;
/** Time for new upstreams to fill their prompt caches in traffic before others are given up for them. */
const warmUpMs = 5_000;
/** A zone is asked again after this time, twice; then ever more rarely, up to the longest time, which also follows a rejected order. */
const refusedMs = 5_000;
const maxRefusedMs = 30_000;
/**
 * Reclaimable upstreams that were taken away can usually be had again within this time. Until then ordinary ones, which would be paid for
 * longer, make up only for the total that is planned without a burst.
 */
const unavailableMs = 10_000;
/** Time beyond the boot time in which a new upstream is listed, as a rule. */
const takeOverMarginMs = 500;
const pause = { firstMs: 250, maxMs: 2_000 };

/**
 * Plans how many upstreams of a service run in each availability zone. `observe` is called on every VM, so that a VM that takes over knows
 * how many there were at the start; orders are planned by the holder of the lease only.
 */
export class ScalingPlanner {
    private readonly groups: UpstreamGroups;
    private readonly targets: ScalingTargets;
    private lastOrdinaryRaiseMs = -Infinity;
    private lastReductionOrderMs = -Infinity;
    /** No orders for reclaimable upstreams before this time, as several zones have none. */
    private reclaimableRefusedUntilMs = -Infinity;
    /** Time since which reclaimable upstreams have been refused or taken away, with none ordered since. */
    private unavailableSinceMs: number | undefined;
    private takenOverMs = -Infinity;
    private failures = 0;
    private pausedUntilMs = -Infinity;

    constructor(private scaling: ServiceScaling) {
        this.groups = new UpstreamGroups(scaling);
        this.targets = new ScalingTargets(scaling);
    }

    /** Applies limits and prices of a newer configuration. */
    update(scaling: ServiceScaling): void {
        this.scaling = scaling;
        this.groups.update(scaling);
        this.targets.update(scaling);
    }

    /** Applies the list of the service's upstreams. */
    observe(upstreams: readonly RelayUpstream[], nowMs: number): void {
        const { groups, targets } = this;
        for (const reclaimed of groups.observe(upstreams, nowMs)) {
            reclaimed.refusedUntilMs = nowMs + refusedMs;
            this.unavailableSinceMs ??= nowMs;
        }
        if (upstreams.length > 0) {
            const ready = { ordinary: groups.countReady("ordinary"), reclaimable: groups.countReady("reclaimable") };
            targets.observe(ready, groups.zones.length, nowMs);
        }
    }

    /** Records a reading of the demand; one that lacks calls of other VMs never lowers an order. */
    recordDemand(demand: ServiceDemand, nowMs: number): void {
        this.targets.recordDemand(demand, this.groups.slotsPerUpstream, nowMs);
    }

    /** Starts from what is listed, as this VM has become the holder. */
    takeOver(nowMs: number): void {
        this.groups.reset();
        this.targets.reset(nowMs);
        this.takenOverMs = nowMs;
        this.unavailableSinceMs = undefined;
        this.lastOrdinaryRaiseMs = -Infinity;
        this.reclaimableRefusedUntilMs = -Infinity;
        this.failures = 0;
        this.pausedUntilMs = -Infinity;
    }

    /** The next order to send; undefined when all is as planned, or nothing can be done now. */
    nextOrder(nowMs: number): ScalingOrder | undefined {
        if (!this.isSettled(nowMs) || nowMs < this.pausedUntilMs || this.mayHaveEarlierOrders(nowMs)) {
            return undefined;
        }
        this.targets.follow(nowMs);
        return this.raiseReclaimable(nowMs) ?? this.raiseOrdinary(nowMs) ?? this.exchangeOrdinary(nowMs) ?? this.reduceExcess(nowMs) ??
            this.groups.repeatOverdue(nowMs);
    }

    recordReply(order: ScalingOrder, reply: ScalingReply, nowMs: number): void {
        const { count, isReclaimable } = order;
        const group = this.groups.find(order);
        if (group === undefined) {
            return;
        }
        if (reply === "failed") {
            group.recordFailed(count, nowMs);
            this.pausedUntilMs = nowMs + Math.min(pause.maxMs, pause.firstMs * 2 ** this.failures);
            this.failures++;
            return;
        }
        this.failures = 0;
        if (reply === "accepted") {
            if (count > group.ordered) {
                this.targets.recordRaise(nowMs);
                this.lastOrdinaryRaiseMs = isReclaimable ? this.lastOrdinaryRaiseMs : nowMs;
            }
            if (isReclaimable) {
                this.unavailableSinceMs = undefined;
            }
            group.recordAccepted(count, nowMs);
            return;
        }
        if (isReclaimable) {
            this.unavailableSinceMs ??= nowMs;
        }
        group.recordRefused(reply === "unavailable" ? refusedMs : maxRefusedMs, maxRefusedMs, nowMs);
        // When two zones have none, the others are not likely to have any; each order is priced.
        const refused = this.groups.list("reclaimable").filter(({ refusedUntilMs }) => nowMs < refusedUntilMs);
        if (isReclaimable && refused.length >= 2) {
            this.reclaimableRefusedUntilMs = Math.max(...refused.map(({ refusedUntilMs }) => refusedUntilMs));
        }
    }

    /** Ordered and listed upstreams by zone and kind. */
    get state(): UpstreamGroups["state"] {
        return this.groups.state;
    }

    private isSettled(nowMs: number): boolean {
        const isUnchanged = this.groups.list("ordinary").every(({ changedMs }) => nowMs - changedMs >= settleMs);
        return this.targets.reference > 0 && isUnchanged || this.targets.isReferenceFinal(nowMs);
    }

    /**
     * Whether upstreams that an earlier holder has ordered may still be starting: a lower order would take them back. At the first start
     * all holders plan the same numbers, and need not wait.
     */
    private mayHaveEarlierOrders(nowMs: number): boolean {
        return nowMs - this.takenOverMs < this.scaling.bootMs + takeOverMarginMs &&
            (this.targets.demand.hasTraffic || this.groups.countReady("reclaimable") > 0);
    }

    private raiseReclaimable(nowMs: number): ScalingOrder | undefined {
        const { groups, targets } = this;
        if (!targets.usesReclaimable || nowMs < this.reclaimableRefusedUntilMs) {
            return undefined;
        }
        for (const [zone, goal] of splitByPrice(targets.reclaimable, groups.zones)) {
            const group = groups.get(zone, "reclaimable");
            const count = Math.min(goal, groups.countRoom(zone, "reclaimable", nowMs));
            if (count > group.countExpected(nowMs) && group.mayOrder(count, nowMs)) {
                return { availabilityZone: zone, isReclaimable: true, count };
            }
        }
        return groups.fillUp("reclaimable", targets.total, nowMs);
    }

    /** Orders ordinary upstreams when reclaimable ones cannot be had and too few would be left. */
    private raiseOrdinary(nowMs: number): ScalingOrder | undefined {
        const mayAwaitReclaimable = this.unavailableSinceMs !== undefined && nowMs - this.unavailableSinceMs < unavailableMs;
        return this.groups.fillUp("ordinary", this.targets.computeCoveredTotal(mayAwaitReclaimable), nowMs);
    }

    /** Gives up ordinary upstreams for which reclaimable ones serve, the most expensive first. */
    private exchangeOrdinary(nowMs: number): ScalingOrder | undefined {
        const { groups, targets } = this;
        const reclaimable = groups.list("reclaimable");
        const areStarting = reclaimable.some(group => group.countExpected(nowMs) > group.serving);
        const haveColdCaches = targets.demand.hasTraffic && reclaimable.some(({ changedMs }) => nowMs - changedMs < warmUpMs);
        const hasRaisedOrdinary = nowMs - this.lastOrdinaryRaiseMs < scalingWindowMs;
        // A holder that has just taken over has not seen the demand of a whole window.
        const isNewHolder = targets.demand.hasTraffic && nowMs - this.takenOverMs < scalingWindowMs;
        const isDemandKnown = !isNewHolder && targets.demand.isCurrent(nowMs);
        if (!targets.usesReclaimable || areStarting || haveColdCaches || hasRaisedOrdinary || !isDemandKnown) {
            return undefined;
        }
        const serving = reclaimable.map(group => group.serving);
        const servingTotal = sum(serving);
        const atRisk = sum(serving.toSorted((left, right) => right - left).slice(0, targets.lostZones));
        const goal = Math.max(targets.ordinary, targets.total - servingTotal, targets.surviving - (servingTotal - atRisk));
        const excess = groups.countServing("ordinary") - goal;
        const goals = splitByPrice(goal, groups.zones);
        for (const zone of groups.zones.toReversed()) {
            const ordinary = groups.get(zone, "ordinary");
            const minOrdinary = this.scaling.minUpstreams - groups.get(zone, "reclaimable").serving;
            const lowest = Math.max(goals.get(zone) ?? 0, ordinary.serving - excess, minOrdinary);
            if (
                excess >= targets.minRaise / 2 && lowest < ordinary.ordered && lowest < ordinary.ready && ordinary.mayOrder(lowest, nowMs)
            ) {
                return { availabilityZone: zone, isReclaimable: false, count: lowest };
            }
        }
        return undefined;
    }

    /** Gives up a few upstreams beyond the total, after a whole window in which none had to be added. */
    private reduceExcess(nowMs: number): ScalingOrder | undefined {
        const { groups, targets } = this;
        const kind = targets.usesReclaimable ? "reclaimable" : "ordinary";
        const excess = groups.countServing("ordinary") + groups.countServing("reclaimable") - targets.total;
        if (excess <= 0 || !targets.mayReduce(this.lastReductionOrderMs, nowMs)) {
            return undefined;
        }
        const goals = splitByPrice(kind === "reclaimable" ? targets.reclaimable : targets.total, groups.zones);
        const surplus = (zone: string) => groups.get(zone, kind).serving - (goals.get(zone) ?? 0);
        for (const zone of groups.zones.toReversed().sort((left, right) => surplus(right) - surplus(left))) {
            const group = groups.get(zone, kind);
            const aboveMin = groups.get(zone, "ordinary").serving + groups.get(zone, "reclaimable").serving - this.scaling.minUpstreams;
            const spare = Math.min(excess, targets.reductionStep, aboveMin, surplus(zone));
            if (spare > 0 && group.mayOrder(group.serving - spare, nowMs)) {
                this.lastReductionOrderMs = nowMs;
                return { availabilityZone: zone, isReclaimable: kind === "reclaimable", count: group.serving - spare };
            }
        }
        return undefined;
    }
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}
